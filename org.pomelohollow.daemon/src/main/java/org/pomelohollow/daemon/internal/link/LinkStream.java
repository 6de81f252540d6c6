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
}
