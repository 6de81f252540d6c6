package org.pomelohollow.daemon.internal.link;

import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.MemberId;

/** Hears of peers. */
public interface LinkEvents {
  /**
   * The first link to a peer is up.
   *
   * @param peer the peer
   */
  void up(MemberId peer);

  /**
   * The last link to a peer is gone, or none could be made.
   *
   * @param peer the peer
   */
  void lost(MemberId peer);

  /**
   * A control message came.
   *
   * @param from sender
   * @param message the message
   * @param bytes its encoded length
   */
  void received(MemberId from, PeerMessage message, int bytes);

  /**
   * A control message was sent.
   *
   * @param message the message
   * @param bytes its encoded length
   */
  void sent(PeerMessage message, int bytes);

  /**
   * A connection was closed for breaking the protocol or failing the handshake.
   *
   * @param cause what was wrong
   */
  void rejected(String cause);
}
