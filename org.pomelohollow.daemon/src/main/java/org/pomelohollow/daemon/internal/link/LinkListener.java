package org.pomelohollow.daemon.internal.link;

import org.pomelohollow.message.PeerMessage;

/** Receives the events of one or more links. */
interface LinkListener {
  /** Notifies that the handshake has succeeded. */
  void linkUp(Link link);

  /**
   * Notifies that the connection was closed; {@code wasUp} says whether the handshake succeeded.
   */
  void linkDown(Link link, boolean wasUp);

  /** Notifies of a protocol violation or an I/O error, before the connection is closed. */
  void linkFailed(Link link, Throwable cause);

  /** Notifies that a control message of {@code bytes} encoded bytes was received. */
  void messageReceived(Link link, PeerMessage message, int bytes);
}
