package org.pomelohollow.daemon.internal.link;

/** One side of a stream, which carries one attempt and its response. */
interface LinkStream {
  /**
   * Processes a frame of the stream and takes ownership of its payload.
   *
   * @param f the frame
   */
  void receive(Frame f);

  /** Ends the stream because the link was closed. */
  void linkLost();

  /**
   * Nothing was received on the link for a while; the peer may be paused, or the connection may be
   * dead. Ends the stream if its request can be attempted again elsewhere.
   */
  void linkSilent();
}
