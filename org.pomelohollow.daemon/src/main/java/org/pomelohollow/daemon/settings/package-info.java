/** Settings of a daemon. */
package org.pomelohollow.daemon.settings;
