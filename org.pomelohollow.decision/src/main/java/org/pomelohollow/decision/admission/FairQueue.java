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
 * Queue of requests of one priority, shared between client accounts by weight.
 *
 * <p>Start-time fair queueing (Goyal, Vin and Cheng, 1996), with the time that a request holds its
 * slot as its length. The length is unknown when a request starts: it is charged by the account's
 * mean and corrected when the request ends.
 */
final class FairQueue {
  private static final double COST_GAIN = 0.1;
  private static final double FIRST_COST_NANOS = 10_000_000;

  private final Map<Optional<AccountId>, Flow> flows = new LinkedHashMap<>();
  private double virtualTime;
  private double meanCostNanos = FIRST_COST_NANOS;
  private int size;

  int size() {
    return size;
  }

  void add(Ticket t, double weight) {
    Flow f = flows.computeIfAbsent(t.context().account(), k -> new Flow());
    f.weight = weight;
    f.waiting.addLast(t);
    size++;
  }

  /** Returns the request that is next, without removing it. */
  Optional<Ticket> peek() {
    return next().map(f -> f.waiting.getFirst());
  }

  /** Removes the request that {@link #peek} returns, and charges its account. */
  Ticket poll() {
    Flow f = next().orElseThrow();
    Ticket t = f.waiting.removeFirst();
    size--;
    double start = Math.max(virtualTime, f.finish);
    double cost = f.costNanos > 0 ? f.costNanos : meanCostNanos;
    virtualTime = start;
    f.finish = start + cost / f.weight;
    t.setCharge(cost);
    return t;
  }

  /** Corrects the charge of a request by the time that it held its slot. */
  void settle(Ticket t, long heldNanos) {
    meanCostNanos += COST_GAIN * (heldNanos - meanCostNanos);
    Flow f = flows.get(t.context().account());
    if (f != null) {
      f.costNanos =
          f.costNanos > 0 ? f.costNanos + COST_GAIN * (heldNanos - f.costNanos) : heldNanos;
      f.finish += (heldNanos - t.charge()) / f.weight;
    }
  }

  /** Returns the request that would be served last. */
  Optional<Ticket> last() {
    Flow worst = null;
    double worstFinish = 0;
    for (Flow f : flows.values()) {
      double finish = f.backlogFinish(virtualTime, meanCostNanos);
      if (!f.waiting.isEmpty() && (worst == null || finish > worstFinish)) {
        worst = f;
        worstFinish = finish;
      }
    }
    return Optional.ofNullable(worst).map(f -> f.waiting.getLast());
  }

  boolean remove(Ticket t) {
    Flow f = flows.get(t.context().account());
    boolean removed = f != null && f.waiting.remove(t);
    if (removed) {
      size--;
    }
    return removed;
  }

  /** Removes the requests that match, in no particular order. */
  List<Ticket> removeIf(Predicate<Ticket> p) {
    List<Ticket> out = new ArrayList<>();
    for (Flow f : flows.values()) {
      f.waiting.stream().filter(p).forEach(out::add);
      f.waiting.removeIf(p);
    }
    size -= out.size();
    return out;
  }

  /** Forgets accounts that have nothing waiting and owe nothing. */
  void prune() {
    flows.values().removeIf(f -> f.waiting.isEmpty() && f.finish <= virtualTime);
  }

  private Optional<Flow> next() {
    Flow best = null;
    for (Flow f : flows.values()) {
      if (!f.waiting.isEmpty() && (best == null || f.precedes(best, virtualTime))) {
        best = f;
      }
    }
    return Optional.ofNullable(best);
  }

  private static final class Flow {
    private final Deque<Ticket> waiting = new ArrayDeque<>();
    private double weight = 1;
    private double finish;
    private double costNanos;

    boolean precedes(Flow o, double virtualTime) {
      double a = Math.max(virtualTime, finish);
      double b = Math.max(virtualTime, o.finish);
      if (a != b) {
        return a < b;
      }
      return waiting.getFirst().arrivedNanos() < o.waiting.getFirst().arrivedNanos();
    }

    double backlogFinish(double virtualTime, double meanCostNanos) {
      double cost = costNanos > 0 ? costNanos : meanCostNanos;
      return Math.max(virtualTime, finish) + waiting.size() * cost / weight;
    }
  }
}
