package org.pomelohollow.decision.fairness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.pomelohollow.model.AccountId;

/**
 * Demand of the fleet at one service and priority, as an entry daemon knows it from summaries.
 * Accounts that no recent summary named count as equal parts of the remaining demand.
 */
final class FleetDemand {
  /** Time for which the demand of an account is used after the summary that named it. */
  private static final long KNOWN_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final ToDoubleFunction<AccountId> weightOf;
  private final Map<AccountId, Known> known = new HashMap<>();
  private double remainderMean;
  private MaxMinLevel division = new MaxMinLevel(List.of());

  /**
   * Creates a demand of 0.
   *
   * @param weightOf returns the weight of a client account, above 0
   */
  FleetDemand(ToDoubleFunction<AccountId> weightOf) {
    this.weightOf = weightOf;
  }

  /**
   * Takes over a summary.
   *
   * @param total demand of all accounts
   * @param demands demands of single accounts, of this priority only
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void update(RankDemand total, List<AccountDemand> demands, long nowNanos) {
    known.values().removeIf(k -> nowNanos - k.nanos() > KNOWN_NANOS);
    demands.forEach(d -> known.put(d.account(), new Known(d.demand(), nowNanos)));
    double knownSum = known.values().stream().mapToDouble(Known::perSecond).sum();
    int others = Math.max(0, total.accounts() - known.size());
    remainderMean = others == 0 ? 0 : Math.max(0, total.perSecond() - knownSum) / others;
    List<MaxMinLevel.Share> shares = new ArrayList<>();
    known.forEach(
        (a, k) -> shares.add(new MaxMinLevel.Share(k.perSecond(), weightOf.applyAsDouble(a))));
    for (int i = 0; i < others; i++) {
      shares.add(new MaxMinLevel.Share(remainderMean, 1));
    }
    division = new MaxMinLevel(shares);
  }

  /**
   * Returns the share of an account's requests to refuse, so that a share of all is refused.
   *
   * @param account the account
   * @param shareOfAll share of all requests to refuse, from 0 to 1
   * @return the share, from 0 to 1; empty if no demand is known
   */
  Optional<Double> shareToRefuse(AccountId account, double shareOfAll) {
    if (division.total() <= 0) {
      return Optional.empty();
    }
    Known k = known.get(account);
    double demand = k == null ? remainderMean : k.perSecond();
    double level = division.level((1 - shareOfAll) * division.total());
    double kept = level * weightOf.applyAsDouble(account);
    return Optional.of(demand <= kept ? 0.0 : 1 - kept / demand);
  }

  @Override
  public String toString() {
    return String.format(
        "%.1f requests/s, %d accounts known, others %.2f requests/s each",
        division.total(), known.size(), remainderMean);
  }

  private record Known(double perSecond, long nanos) {}
}
