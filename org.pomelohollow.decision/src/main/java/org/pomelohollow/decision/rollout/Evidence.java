package org.pomelohollow.decision.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.pomelohollow.model.MemberId;

/**
 * What an evaluator knows of the targets of one order: the last totals of each, and those of the
 * last seconds, in which a version shows that has turned bad late.
 */
final class Evidence {
  /** Length of the span of recent responses. */
  private static final long WINDOW_NANOS = 2_000_000_000L;

  /** Age from which a report says nothing of a target's present state. */
  private static final long FRESH_NANOS = 1_500_000_000L;

  private final Map<Target, Reports> reportsByTarget = new LinkedHashMap<>();

  /** Adds a report, unless a later one of the same daemon was received before. */
  void add(MemberId from, RolloutReport r, long nowNanos) {
    reportsByTarget
        .computeIfAbsent(new Target(from, r.version()), k -> new Reports())
        .add(r, nowNanos);
  }

  /** Returns the sums over the targets that match. */
  Spans spans(Predicate<Target> p, long nowNanos) {
    Totals all = new Totals();
    Totals recent = new Totals();
    reportsByTarget.forEach(
        (t, r) -> {
          if (p.test(t)) {
            r.addTo(all, recent, nowNanos);
          }
        });
    return new Spans(all, recent);
  }

  /** Returns the targets that match and have reported recently. */
  List<Target> freshTargets(Predicate<Target> p, long nowNanos) {
    return reportsByTarget.entrySet().stream()
        .filter(e -> p.test(e.getKey()) && e.getValue().isFresh(nowNanos))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the targets that match and had a response since the order. */
  List<Target> targetsWithResponses(Predicate<Target> p) {
    return reportsByTarget.entrySet().stream()
        .filter(e -> p.test(e.getKey()) && e.getValue().latest.responses() > 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the requests in flight at the matching targets that have reported recently. */
  int inFlight(Predicate<Target> p, long nowNanos) {
    return freshTargets(p, nowNanos).stream()
        .mapToInt(t -> reportsByTarget.get(t).latest.inFlight())
        .sum();
  }

  /** Returns the limits of the matching targets that have reported recently. */
  int limit(Predicate<Target> p, long nowNanos) {
    return freshTargets(p, nowNanos).stream()
        .mapToInt(t -> reportsByTarget.get(t).latest.limit())
        .sum();
  }

  /** A target of the service: its daemon and its version. */
  record Target(MemberId member, String version) {}

  /**
   * Sums over several targets.
   *
   * @param all since the order
   * @param recent in the last seconds
   */
  record Spans(Totals all, Totals recent) {}

  private record Snapshot(long atNanos, RolloutReport report) {}

  /** Reports of one target. */
  private static final class Reports {
    /** Last reports of former runs of the target, whose totals started anew. */
    private final Deque<RolloutReport> ended = new ArrayDeque<>();

    private final Deque<Snapshot> recent = new ArrayDeque<>();
    private RolloutReport latest;
    private long latestNanos;

    void add(RolloutReport r, long nowNanos) {
      if (latest != null && r.sequence() <= latest.sequence()) {
        return;
      }
      if (latest != null && r.responses() < latest.responses()) {
        ended.add(latest);
        recent.clear();
      }
      latest = r;
      latestNanos = nowNanos;
      recent.add(new Snapshot(nowNanos, r));
      while (recent.size() > 1 && nowNanos - second().atNanos() >= WINDOW_NANOS) {
        recent.removeFirst();
      }
    }

    boolean isFresh(long nowNanos) {
      return nowNanos - latestNanos <= FRESH_NANOS;
    }

    void addTo(Totals all, Totals recentTotals, long nowNanos) {
      ended.forEach(all::addEnded);
      if (!isFresh(nowNanos)) {
        all.addEnded(latest);
        return;
      }
      all.add(latest);
      recentTotals.add(latest);
      if (recent.size() > 1) {
        recentTotals.subtract(recent.peekFirst().report());
      }
    }

    private Snapshot second() {
      return recent.stream().skip(1).findFirst().orElseThrow();
    }
  }
}
