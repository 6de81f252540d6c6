package org.pomelohollow.daemon.protocol;

/** Handles the requests that arrive at one address of a daemon. */
@FunctionalInterface
public interface InboundHandler {
  /**
   * Handles a request.
   *
   * @param in the request; the response may be given in this call or later
   */
  void handle(InboundRequest in);
}
