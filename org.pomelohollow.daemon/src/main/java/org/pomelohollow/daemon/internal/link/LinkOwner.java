package org.pomelohollow.daemon.internal.link;

import org.pomelohollow.message.PeerMessage;

/** Hears of the life of links. */
interface LinkOwner {
  /** The handshake succeeded. */
  void up(Link link);

  /** The connection is gone. */
  void down(Link link, boolean wasUp);

  /** The peer broke the protocol, or the connection failed; it is closed next. */
  void failed(Link link, Throwable cause);

  /** A control message came. */
  void received(Link link, PeerMessage message, int bytes);
}
