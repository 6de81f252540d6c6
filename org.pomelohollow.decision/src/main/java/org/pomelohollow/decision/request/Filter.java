package org.pomelohollow.decision.request;

/** One step of the chain that a request passes. */
@FunctionalInterface
public interface Filter {
  /**
   * Decides on a request: refuses it, or hands it to the next step, now or later. A filter that
   * keeps a request must expect that it ends meanwhile.
   *
   * @param x the request
   * @param nowNanos current monotonic time, in nanoseconds
   * @param next the rest of the chain
   */
  void apply(Exchange x, long nowNanos, Chain next);

  /** The rest of a chain. */
  @FunctionalInterface
  interface Chain {
    /**
     * Goes on with a request, unless it has ended.
     *
     * @param x the request
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void proceed(Exchange x, long nowNanos);
  }
}
