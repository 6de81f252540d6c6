/** Interfaces of the protocols between a daemon and its callers, its target and the platform. */
package org.pomelohollow.daemon.protocol;
