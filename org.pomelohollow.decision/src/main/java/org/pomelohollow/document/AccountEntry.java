package org.pomelohollow.document;

import org.pomelohollow.model.AccountId;

/**
 * A client account.
 *
 * @param id name
 * @param ratePerSecond sustained root requests per second over all daemons together, above 0
 * @param burst root requests that may come at once, at least 1
 * @param weight share at a busy target relative to other accounts, above 0
 */
public record AccountEntry(AccountId id, double ratePerSecond, double burst, double weight) {
  /** Highest rate and burst that a document may grant. */
  public static final double MAX_RATE = 10_000_000;

  /** Checks the ranges. */
  public AccountEntry {
    Ranges.check("rate", ratePerSecond, Double.MIN_VALUE, MAX_RATE);
    Ranges.check("burst", burst, 1, MAX_RATE);
    Ranges.check("weight", weight, Double.MIN_VALUE, 1_000);
  }
}
