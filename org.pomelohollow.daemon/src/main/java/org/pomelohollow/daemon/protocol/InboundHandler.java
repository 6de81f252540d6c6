package org.pomelohollow.daemon.protocol;

/** Takes requests. */
@FunctionalInterface
public interface InboundHandler {
  /**
   * Takes a request.
   *
   * @param in the request; its answer may be given at once or later
   */
  void take(Inbound in);
}
