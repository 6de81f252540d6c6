package org.pomelohollow.decision.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.guard.TargetObserver;
import org.pomelohollow.document.RolloutOrder;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;

/**
 * Counts responses, failures and times at this daemon's own target since an order for its service.
 * Without such an order it keeps nothing.
 */
final class TargetCounters implements TargetObserver {
  private final Supplier<Optional<TargetState>> target;
  private final Supplier<TargetLoad> load;
  private final Map<String, Counts> countsByRoute = new TreeMap<>();

  /** Running requests, and whether the target was cold when they started. */
  private final Map<RunningRequest, Boolean> running = new HashMap<>();

  private Optional<RolloutOrder> order = Optional.empty();
  private String version = "";
  private long sequence;

  /**
   * Creates counters without an order.
   *
   * @param target returns the state of this daemon's target
   * @param load returns its load
   */
  TargetCounters(Supplier<Optional<TargetState>> target, Supplier<TargetLoad> load) {
    this.target = target;
    this.load = load;
  }

  /** Starts to count for an order, or stops. Counts anew if the order or the version differs. */
  void setOrder(Optional<RolloutOrder> o) {
    // A target that is lost for a moment keeps its counts.
    String v = target.get().map(t -> t.version().orElse("")).orElse(version);
    if (!o.equals(order) || !v.equals(version)) {
      order = o;
      version = v;
      countsByRoute.clear();
      running.clear();
    }
  }

  @Override
  public void started(RunningRequest r) {
    if (order.isPresent()) {
      running.put(r, isCold());
    }
  }

  @Override
  public void ended(RunningRequest r, Completion c, boolean failure, long nowNanos) {
    Boolean startedCold = running.remove(r);
    if (startedCold == null || c == Completion.FAILED || c == Completion.SHED) {
      return;
    }
    Counts counts = countsByRoute.computeIfAbsent(r.route(), k -> new Counts());
    counts.responses++;
    if (failure) {
      counts.failures++;
    } else if (!startedCold) {
      counts.times.add(r.selfTimeNanos(nowNanos));
    }
  }

  /** Returns the totals, empty without a target or an order for its service. */
  Optional<RolloutReport> report(long nowNanos) {
    Optional<TargetState> t = target.get();
    if (t.isEmpty() || order.filter(o -> o.service().equals(t.get().service())).isEmpty()) {
      return Optional.empty();
    }
    Map<String, TimeHistogram> runningTimes = new TreeMap<>();
    running.forEach(
        (r, cold) -> {
          if (!cold) {
            runningTimes
                .computeIfAbsent(r.route(), k -> new TimeHistogram())
                .add(r.selfTimeNanos(nowNanos));
            countsByRoute.computeIfAbsent(r.route(), k -> new Counts());
          }
        });
    List<RouteTotals> routes =
        countsByRoute.entrySet().stream()
            .map(e -> e.getValue().totals(e.getKey(), runningTimes.get(e.getKey())))
            .toList();
    TargetLoad l = load.get();
    return Optional.of(
        new RolloutReport(
            t.get().service(),
            order.get().id(),
            version,
            ++sequence,
            l.inFlight() + l.queued(),
            t.get().draining() ? 0 : t.get().limit(),
            routes));
  }

  private boolean isCold() {
    return target.get().filter(TargetState::cold).isPresent();
  }

  /** Counts of one route. */
  private static final class Counts {
    private final TimeHistogram times = new TimeHistogram();
    private long responses;
    private long failures;

    RouteTotals totals(String route, TimeHistogram runningTimes) {
      List<Long> r = runningTimes == null ? List.of() : runningTimes.toList();
      return new RouteTotals(route, responses, failures, times.toList(), r);
    }
  }
}
