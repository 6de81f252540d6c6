/** Socket options that all servers and clients of the daemon share. */
package org.pomelohollow.daemon.internal.io;
