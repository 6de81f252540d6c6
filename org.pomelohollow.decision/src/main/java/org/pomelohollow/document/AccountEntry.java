package org.pomelohollow.document;

import org.pomelohollow.model.AccountId;

/**
 * A client account.
 *
 * @param id name
 * @param ratePerSecond sustained root requests per second over all daemons together
 * @param burst root requests that may come at once, at least 1
 * @param weight share at a busy target relative to other accounts
 */
public record AccountEntry(AccountId id, double ratePerSecond, double burst, double weight) {
  /** Highest rate and burst that a document may grant. */
  public static final double MAX_RATE = 10_000_000;

  /** Lowest rate, one request in about a quarter of an hour. */
  public static final double MIN_RATE = 0.001;

  /** Lowest weight. */
  public static final double MIN_WEIGHT = 0.001;

  /** Highest weight. */
  public static final double MAX_WEIGHT = 1_000;

  /** Checks the ranges. */
  public AccountEntry {
    Ranges.check("rate", ratePerSecond, MIN_RATE, MAX_RATE);
    Ranges.check("burst", burst, 1, MAX_RATE);
    Ranges.check("weight", weight, MIN_WEIGHT, MAX_WEIGHT);
  }
}
