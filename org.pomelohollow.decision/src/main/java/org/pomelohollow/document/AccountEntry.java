package org.pomelohollow.document;

import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Priority;

/**
 * A client account.
 *
 * @param id name
 * @param ratePerSecond sustained root requests per second over all daemons together
 * @param burst root requests that may come at once, at least 1
 * @param weight share at a busy target relative to other accounts
 * @param rankOffset ranks by which the account's requests are less important than their routes say
 */
public record AccountEntry(
    AccountId id, double ratePerSecond, double burst, double weight, int rankOffset) {
  /** Highest rate and burst that a document may grant. */
  public static final double MAX_RATE = 10_000_000;

  /** Lowest rate, one request in about a quarter of an hour. */
  public static final double MIN_RATE = 0.001;

  /** Lowest weight. */
  public static final double MIN_WEIGHT = 0.001;

  /** Highest weight. */
  public static final double MAX_WEIGHT = 1_000;

  /**
   * Creates an account whose requests have the priorities of their routes.
   *
   * @param id name
   * @param ratePerSecond sustained root requests per second over all daemons together
   * @param burst root requests that may come at once, at least 1
   * @param weight share at a busy target relative to other accounts
   */
  public AccountEntry(AccountId id, double ratePerSecond, double burst, double weight) {
    this(id, ratePerSecond, burst, weight, 0);
  }

  /** Returns whether the account's rate is bounded at all. */
  public boolean isLimited() {
    return ratePerSecond < MAX_RATE;
  }

  /** Checks the ranges. */
  public AccountEntry {
    Ranges.check("rank offset", rankOffset, 0, Priority.MAX_COUNT);
    Ranges.check("rate", ratePerSecond, MIN_RATE, MAX_RATE);
    Ranges.check("burst", burst, 1, MAX_RATE);
    Ranges.check("weight", weight, MIN_WEIGHT, MAX_WEIGHT);
  }
}
