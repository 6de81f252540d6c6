package org.pomelohollow.decision.routing;

/** Cost of sending a request to another availability zone, in nanoseconds of waiting. */
final class CrossingCost {
  /** Links between zones add up to 1.4 ms one way, and a request needs both ways. */
  private static final long ADDED_LATENCY_NANOS = 2 * 1_400_000;

  /** Upper end of the mean length of a route's responses, 1.5 to 6 KB. */
  private static final long RESPONSE_BYTES = 6_000;

  /**
   * Price of a byte. A response of 4 KB costs as much as 1 ms of waiting, about the delay of the
   * link. A body of 60 KB costs 15 ms, so that the whole stays below {@link ZoneSpill#QUEUE_NANOS}:
   * the price alone does not make a request wait at a full target.
   */
  private static final long NANOS_PER_BYTE = 250;

  private CrossingCost() {}

  /**
   * Returns the cost of one request.
   *
   * @param bodyBytes length of the request body in bytes
   * @return the cost in nanoseconds
   */
  static long nanos(long bodyBytes) {
    return ADDED_LATENCY_NANOS + (RESPONSE_BYTES + bodyBytes) * NANOS_PER_BYTE;
  }
}
