package org.pomelohollow.document;

/**
 * What a target bears while it is cold.
 *
 * @param millis how long a target stays cold after its start, in milliseconds
 * @param perSecond requests per second that it bears meanwhile
 */
public record ColdRate(long millis, double perSecond) {
  /** Checks the ranges. */
  public ColdRate {
    Ranges.check("cold time", millis, 0, RouteEntry.MAX_TIMEOUT_MILLIS);
    Ranges.check("cold rate", perSecond, 0, AccountEntry.MAX_RATE);
  }
}
