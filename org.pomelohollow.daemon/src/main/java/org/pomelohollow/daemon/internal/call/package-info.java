/** Calls on their way between an entry and a target, on this host or over a link. */
package org.pomelohollow.daemon.internal.call;
