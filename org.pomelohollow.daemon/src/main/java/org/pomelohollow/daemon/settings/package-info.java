/** Settings of a daemon and the reader of its settings file. */
package org.pomelohollow.daemon.settings;
