/** Links between daemons: frames, handshake and streams with credit. */
package org.pomelohollow.daemon.internal.link;
