package org.pomelohollow.decision.fairness;

/**
 * Demand of all client accounts at one service and priority.
 *
 * @param rank rank of the priority
 * @param perSecond requests per second, at least 0
 * @param accounts number of accounts with demand, at least 0
 */
public record RankDemand(int rank, double perSecond, int accounts) {
  /** Checks the fields. */
  public RankDemand {
    if (!(perSecond >= 0) || Double.isInfinite(perSecond) || accounts < 0) {
      throw new IllegalArgumentException(
          "invalid demand: " + perSecond + " of " + accounts + " accounts");
    }
  }
}
