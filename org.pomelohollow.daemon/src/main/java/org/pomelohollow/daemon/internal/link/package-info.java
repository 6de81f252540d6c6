/** Links between daemons: frames, handshake, and streams with credit-based flow control. */
package org.pomelohollow.daemon.internal.link;
