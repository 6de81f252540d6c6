package org.pomelohollow.daemon.internal.link;

import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.MemberId;

/** Receives the events of the links to peers. */
public interface PeerLinkListener {
  /**
   * Notifies that the first link to a peer is up.
   *
   * @param peer the peer
   */
  void peerUp(MemberId peer);

  /**
   * Notifies that the last link to a peer was closed or that none could be established.
   *
   * @param peer the peer
   */
  void peerLost(MemberId peer);

  /**
   * Notifies that a control message was received.
   *
   * @param from the sending peer
   * @param message the message
   * @param bytes encoded length of the message
   */
  void messageReceived(MemberId from, PeerMessage message, int bytes);

  /**
   * Notifies that a control message was sent.
   *
   * @param message the message
   * @param bytes encoded length of the message
   */
  void messageSent(PeerMessage message, int bytes);

  /**
   * Notifies that a connection was closed for a protocol violation or a failed handshake.
   *
   * @param cause description of the violation or failure
   */
  void connectionRejected(String cause);
}
