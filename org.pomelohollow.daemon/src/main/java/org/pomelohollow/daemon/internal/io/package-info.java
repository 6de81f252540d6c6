/** Options that all sockets of a daemon share. */
package org.pomelohollow.daemon.internal.io;
