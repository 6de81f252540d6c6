package org.pomelohollow.decision.fairness;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.ServiceId;

/** Demand at one service, as one entry daemon counts it and as the service's home replies. */
final class EntryDemand {
  /** Time after the last pressure until which reports are sent. */
  private static final long ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final ServiceId service;
  private final ToDoubleFunction<AccountId> weightOf;
  private final Map<Key, Integer> counts = new HashMap<>();
  private final Map<Integer, FleetDemand> fleetByRank = new HashMap<>();
  private long pressureNanos = Long.MIN_VALUE;
  private long reportedNanos = Long.MIN_VALUE;
  private long activeSinceNanos;
  private long repliedNanos = Long.MIN_VALUE;
  private boolean fallenBack;

  EntryDemand(ServiceId service, ToDoubleFunction<AccountId> weightOf) {
    this.service = service;
    this.weightOf = weightOf;
  }

  void count(AccountId account, int rank) {
    counts.merge(new Key(account, rank), 1, Integer::sum);
  }

  void recordPressure(long nowNanos) {
    if (!isActive(nowNanos)) {
      activeSinceNanos = nowNanos;
    }
    pressureNanos = nowNanos;
  }

  /** Returns whether pressure was met recently, so that reports are sent. */
  boolean isActive(long nowNanos) {
    return pressureNanos != Long.MIN_VALUE && nowNanos - pressureNanos <= ACTIVE_NANOS;
  }

  /**
   * Returns the next report, if one is due. Counts of a time without pressure are dropped.
   *
   * @param intervalNanos time between two reports, in nanoseconds
   * @param nowNanos current monotonic time, in nanoseconds
   */
  Optional<DemandReport> nextReport(long intervalNanos, long nowNanos) {
    if (reportedNanos != Long.MIN_VALUE && nowNanos - reportedNanos < intervalNanos) {
      return Optional.empty();
    }
    reportedNanos = nowNanos;
    if (!isActive(nowNanos)) {
      counts.clear();
      return Optional.empty();
    }
    List<Map.Entry<Key, Integer>> largest =
        counts.entrySet().stream()
            .sorted(Map.Entry.<Key, Integer>comparingByValue(Comparator.reverseOrder()))
            .limit(DemandReport.MAX_DEMANDS)
            .toList();
    List<AccountDemand> demands =
        largest.stream()
            .map(e -> new AccountDemand(e.getKey().account(), e.getKey().rank(), e.getValue()))
            .toList();
    largest.forEach(e -> counts.remove(e.getKey()));
    return Optional.of(new DemandReport(service, demands));
  }

  void onSummary(DemandSummary s, long nowNanos) {
    repliedNanos = nowNanos;
    for (RankDemand total : s.ranks()) {
      List<AccountDemand> ofRank =
          s.demands().stream().filter(d -> d.rank() == total.rank()).toList();
      fleetByRank
          .computeIfAbsent(total.rank(), k -> new FleetDemand(weightOf))
          .update(total, ofRank, nowNanos);
    }
  }

  /** Returns the share of an account's requests to refuse, empty without a recent summary. */
  Optional<Double> shareToRefuse(
      AccountId account, int rank, double shareOfAll, long validNanos, long nowNanos) {
    FleetDemand f = fleetByRank.get(rank);
    return f == null || !hasReply(validNanos, nowNanos)
        ? Optional.empty()
        : f.shareToRefuse(account, shareOfAll);
  }

  /**
   * Notices the start and end of the fallback, for the log.
   *
   * @return whether the fallback is in effect now, if that has changed
   */
  Optional<Boolean> fallbackChange(long validNanos, long nowNanos) {
    boolean isFallback =
        isActive(nowNanos)
            && nowNanos - activeSinceNanos > validNanos
            && !hasReply(validNanos, nowNanos);
    if (isFallback == fallenBack) {
      return Optional.empty();
    }
    fallenBack = isFallback;
    return Optional.of(isFallback);
  }

  void dropFleetDemand() {
    fleetByRank.clear();
    repliedNanos = Long.MIN_VALUE;
  }

  @Override
  public String toString() {
    return fleetByRank + (fallenBack ? ", without a reply" : "");
  }

  private boolean hasReply(long validNanos, long nowNanos) {
    return repliedNanos != Long.MIN_VALUE && nowNanos - repliedNanos <= validNanos;
  }

  private record Key(AccountId account, int rank) {}
}
