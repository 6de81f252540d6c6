package org.pomelohollow.decision.fairness;

import java.util.Objects;
import org.pomelohollow.model.AccountId;

/**
 * Demand of one client account at one service and priority.
 *
 * @param account the client account
 * @param rank rank of the priority
 * @param demand number of requests, or requests per second; at least 0
 */
public record AccountDemand(AccountId account, int rank, double demand) {
  /** Checks the fields. */
  public AccountDemand {
    Objects.requireNonNull(account, "account");
    if (!(demand >= 0) || Double.isInfinite(demand)) {
      throw new IllegalArgumentException("invalid demand: " + demand);
    }
  }
}
