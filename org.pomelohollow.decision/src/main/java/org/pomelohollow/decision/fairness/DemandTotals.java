package org.pomelohollow.decision.fairness;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.ServiceId;

/** Demand of the whole fleet at one service, at the service's home: decaying sums of reports. */
final class DemandTotals {
  /** Time constant of the sums: an account that floods for 6 s must show within 1 to 2 s. */
  private static final double TIME_CONSTANT_SECONDS = 1.5;

  /** Time for which reports are collected before the first reply: one interval of the entries. */
  private static final long COLLECT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time without a report after which the sums are started anew. */
  private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Sum below which an account has no demand. */
  private static final double MIN_SUM = 0.02;

  private static final int MAX_LARGEST = 8;

  private final ServiceId service;
  private final Map<Key, Double> sums = new HashMap<>();
  private long startedNanos;
  private long updatedNanos;

  DemandTotals(ServiceId service, long nowNanos) {
    this.service = service;
    this.startedNanos = nowNanos;
    this.updatedNanos = nowNanos;
  }

  /** Adds a report to the sums. */
  void add(DemandReport r, long nowNanos) {
    if (nowNanos - updatedNanos > IDLE_NANOS) {
      sums.clear();
      startedNanos = nowNanos;
    }
    decay(nowNanos);
    r.demands().forEach(d -> sums.merge(Key.of(d), d.demand(), Double::sum));
  }

  /** Returns whether reports have been collected for long enough to reply. */
  boolean isCollected(long nowNanos) {
    return nowNanos - startedNanos >= COLLECT_NANOS;
  }

  boolean isIdle(long nowNanos) {
    return nowNanos - updatedNanos > IDLE_NANOS;
  }

  /** Returns the reply to a report. */
  DemandSummary summary(DemandReport r) {
    Map<Integer, RankDemand> ranks = new TreeMap<>();
    sums.forEach(
        (k, s) ->
            ranks.merge(
                k.rank(),
                new RankDemand(k.rank(), s / TIME_CONSTANT_SECONDS, 1),
                (a, b) ->
                    new RankDemand(
                        a.rank(), a.perSecond() + b.perSecond(), a.accounts() + b.accounts())));
    Set<Key> listed = new LinkedHashSet<>();
    sums.entrySet().stream()
        .sorted(Map.Entry.<Key, Double>comparingByValue(Comparator.reverseOrder()))
        .limit(MAX_LARGEST)
        .forEach(e -> listed.add(e.getKey()));
    r.demands().stream().map(Key::of).filter(sums::containsKey).forEach(listed::add);
    List<AccountDemand> demands =
        listed.stream()
            .map(k -> new AccountDemand(k.account(), k.rank(), sums.get(k) / TIME_CONSTANT_SECONDS))
            .toList();
    return new DemandSummary(service, List.copyOf(ranks.values()), demands);
  }

  @Override
  public String toString() {
    return sums.size() + " demands";
  }

  private void decay(long nowNanos) {
    double seconds = (nowNanos - updatedNanos) / 1e9;
    double factor = Math.exp(-seconds / TIME_CONSTANT_SECONDS);
    updatedNanos = nowNanos;
    sums.replaceAll((k, s) -> s * factor);
    sums.values().removeIf(s -> s < MIN_SUM);
  }

  private record Key(AccountId account, int rank) {
    static Key of(AccountDemand d) {
      return new Key(d.account(), d.rank());
    }
  }
}
