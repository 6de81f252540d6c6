/** Attempts at a target: at this host's target over HTTP, or handed to a peer over a link. */
package org.pomelohollow.daemon.internal.call;
