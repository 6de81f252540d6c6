package org.pomelohollow.document;

/**
 * Request rate of a target in cold start, as stated by the operator.
 *
 * @param durationMillis length of the cold start, in milliseconds from the start of the target
 * @param requestsPerSecond requests per second that the target can run during its cold start
 */
public record ColdStartRate(long durationMillis, double requestsPerSecond) {
  /** Creates a rate after checking the ranges. */
  public ColdStartRate {
    Ranges.check("cold start duration", durationMillis, 0, RouteEntry.MAX_TIMEOUT_MILLIS);
    Ranges.check("cold start rate", requestsPerSecond, 0, AccountEntry.MAX_RATE);
  }
}
