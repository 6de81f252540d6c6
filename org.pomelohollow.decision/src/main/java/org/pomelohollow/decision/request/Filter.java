package org.pomelohollow.decision.request;

/** One step of the filter chain that processes a request. */
@FunctionalInterface
public interface Filter {
  /**
   * Processes a request: either ends it or passes it to the next filter, now or later. A filter
   * that holds a request back must expect that the request ends in the meantime.
   *
   * @param x the request
   * @param nowNanos current monotonic time, in nanoseconds
   * @param next the remaining filters of the chain
   */
  void apply(Exchange x, long nowNanos, Chain next);

  /** The remaining filters of a chain. */
  @FunctionalInterface
  interface Chain {
    /**
     * Passes a request to the remaining filters, unless it has ended.
     *
     * @param x the request
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void proceed(Exchange x, long nowNanos);
  }
}
