package org.pomelohollow.document;

/**
 * Request rate of a target in cold start, as stated by the operator.
 *
 * @param millis length of the cold start, in milliseconds from the start of the target
 * @param perSecond requests per second that the target can run during its cold start
 */
public record ColdRate(long millis, double perSecond) {
  /** Creates a rate after checking the ranges. */
  public ColdRate {
    Ranges.check("cold start duration", millis, 0, RouteEntry.MAX_TIMEOUT_MILLIS);
    Ranges.check("cold start rate", perSecond, 0, AccountEntry.MAX_RATE);
  }
}
