package org.pomelohollow.daemon.internal.link;

/** One side of a stream. */
interface LinkStream {
  /**
   * Takes a frame of the stream; its payload is handed over.
   *
   * @param f the frame
   */
  void receive(Frame f);

  /** The link is gone. */
  void linkLost();
}
