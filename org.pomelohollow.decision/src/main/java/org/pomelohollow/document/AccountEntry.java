package org.pomelohollow.document;

import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Priority;

/**
 * Rate limit, weight and priority of a client account.
 *
 * @param id name of the account
 * @param ratePerSecond sustained root requests per second, over all daemons together
 * @param burst root requests that may arrive at once, at least 1
 * @param weight share of a target's capacity in fair queueing, relative to other accounts
 * @param priorityOffset number of ranks, 0 or more, added to the route's priority rank; a higher
 *     rank is less important
 */
public record AccountEntry(
    AccountId id, double ratePerSecond, double burst, double weight, int priorityOffset) {
  /** Highest rate, in requests per second, and highest burst that a document may set. */
  public static final double MAX_RATE = 10_000_000;

  /** Lowest rate, in requests per second: one request in about 17 minutes. */
  public static final double MIN_RATE = 0.001;

  /** Lowest weight that a document may set. */
  public static final double MIN_WEIGHT = 0.001;

  /** Highest weight that a document may set. */
  public static final double MAX_WEIGHT = 1_000;

  /**
   * Creates an account whose requests have the priorities of their routes.
   *
   * @param id name of the account
   * @param ratePerSecond sustained root requests per second, over all daemons together
   * @param burst root requests that may arrive at once, at least 1
   * @param weight share of a target's capacity in fair queueing, relative to other accounts
   */
  public AccountEntry(AccountId id, double ratePerSecond, double burst, double weight) {
    this(id, ratePerSecond, burst, weight, 0);
  }

  /** Returns whether the account has a rate limit, that is, a rate below {@link #MAX_RATE}. */
  public boolean hasRateLimit() {
    return ratePerSecond < MAX_RATE;
  }

  /** Creates an account after checking the ranges. */
  public AccountEntry {
    Ranges.check("rank offset", priorityOffset, 0, Priority.MAX_COUNT);
    Ranges.check("rate", ratePerSecond, MIN_RATE, MAX_RATE);
    Ranges.check("burst", burst, 1, MAX_RATE);
    Ranges.check("weight", weight, MIN_WEIGHT, MAX_WEIGHT);
  }
}
