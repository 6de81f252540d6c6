/** Reads and appends of the platform log. */
package org.pomelohollow.daemon.internal.log;
