/** HTTP servers for callers, the target of this host and operators. */
package org.pomelohollow.daemon.internal.http;
