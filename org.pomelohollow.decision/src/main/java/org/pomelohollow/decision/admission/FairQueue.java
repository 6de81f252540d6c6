package org.pomelohollow.decision.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.pomelohollow.model.AccountId;

/**
 * Weighted fair queue of the requests of one priority, with one flow per client account.
 *
 * <p>Start-time fair queueing (Goyal, Vin and Cheng, 1996), where the cost of a request is the time
 * that it holds its slot. That time is unknown when the request starts: its account is charged the
 * mean cost of its requests, and the charge is corrected when the request ends.
 */
final class FairQueue {
  /** Weight of the newest request in the mean costs. */
  private static final double COST_SMOOTHING = 0.1;

  /** Cost assumed before any request has ended. */
  private static final double INITIAL_COST_NANOS = 10_000_000;

  private final Map<Optional<AccountId>, Flow> flows = new LinkedHashMap<>();
  private double virtualTime;
  private double meanCostNanos = INITIAL_COST_NANOS;
  private int size;

  int size() {
    return size;
  }

  /**
   * Returns about how many requests would be served before a new one of an account: as many of each
   * account with queued requests as this account has.
   */
  int ahead(Optional<AccountId> account) {
    int own = Optional.ofNullable(flows.get(account)).map(f -> f.queued.size()).orElse(0);
    if (own == 0) {
      return 0;
    }
    long accounts = flows.values().stream().filter(f -> !f.queued.isEmpty()).count();
    return (int) Math.min(size, own * accounts);
  }

  void add(Ticket t, double weight) {
    Flow f = flows.computeIfAbsent(t.context().account(), k -> new Flow());
    f.weight = weight;
    f.queued.addLast(t);
    size++;
  }

  /** Returns the request to serve next, without removing it. */
  Optional<Ticket> peek() {
    return nextFlow().map(f -> f.queued.getFirst());
  }

  /** Removes the request that {@link #peek} returns, and charges its account the mean cost. */
  Ticket poll() {
    Flow f = nextFlow().orElseThrow();
    Ticket t = f.queued.removeFirst();
    size--;
    double startTag = Math.max(virtualTime, f.finishTag);
    double costNanos = f.ownMeanCostNanos > 0 ? f.ownMeanCostNanos : meanCostNanos;
    virtualTime = startTag;
    f.finishTag = startTag + costNanos / f.weight;
    t.setChargedNanos(costNanos);
    return t;
  }

  /** Replaces the estimated charge of a request by the time that it actually held its slot. */
  void correctCharge(Ticket t, long heldNanos) {
    meanCostNanos += COST_SMOOTHING * (heldNanos - meanCostNanos);
    Flow f = flows.get(t.context().account());
    if (f != null) {
      f.ownMeanCostNanos =
          f.ownMeanCostNanos > 0
              ? f.ownMeanCostNanos + COST_SMOOTHING * (heldNanos - f.ownMeanCostNanos)
              : heldNanos;
      f.finishTag += (heldNanos - t.chargedNanos()) / f.weight;
    }
  }

  /** Returns the request that would be served last. */
  Optional<Ticket> last() {
    Flow lastFlow = null;
    double lastFinishTag = 0;
    for (Flow f : flows.values()) {
      double finishTag = f.backlogFinishTag(virtualTime, meanCostNanos);
      if (!f.queued.isEmpty() && (lastFlow == null || finishTag > lastFinishTag)) {
        lastFlow = f;
        lastFinishTag = finishTag;
      }
    }
    return Optional.ofNullable(lastFlow).map(f -> f.queued.getLast());
  }

  boolean remove(Ticket t) {
    Flow f = flows.get(t.context().account());
    boolean removed = f != null && f.queued.remove(t);
    if (removed) {
      size--;
    }
    return removed;
  }

  /** Removes the requests that match, and returns them in no particular order. */
  List<Ticket> removeIf(Predicate<Ticket> p) {
    List<Ticket> out = new ArrayList<>();
    for (Flow f : flows.values()) {
      f.queued.stream().filter(p).forEach(out::add);
      f.queued.removeIf(p);
    }
    size -= out.size();
    return out;
  }

  /** Removes the accounts that have no queued request and whose charges are used up. */
  void removeIdleAccounts() {
    flows.values().removeIf(f -> f.queued.isEmpty() && f.finishTag <= virtualTime);
  }

  private Optional<Flow> nextFlow() {
    Flow earliest = null;
    for (Flow f : flows.values()) {
      if (!f.queued.isEmpty() && (earliest == null || f.precedes(earliest, virtualTime))) {
        earliest = f;
      }
    }
    return Optional.ofNullable(earliest);
  }

  private static final class Flow {
    private final Deque<Ticket> queued = new ArrayDeque<>();
    private double weight = 1;
    private double finishTag;
    private double ownMeanCostNanos;

    boolean precedes(Flow other, double virtualTime) {
      double a = Math.max(virtualTime, finishTag);
      double b = Math.max(virtualTime, other.finishTag);
      if (a != b) {
        return a < b;
      }
      return queued.getFirst().arrivedNanos() < other.queued.getFirst().arrivedNanos();
    }

    double backlogFinishTag(double virtualTime, double meanCostNanos) {
      double costNanos = ownMeanCostNanos > 0 ? ownMeanCostNanos : meanCostNanos;
      return Math.max(virtualTime, finishTag) + queued.size() * costNanos / weight;
    }
  }
}
