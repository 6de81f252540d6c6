package org.pomelohollow.decision.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Queues of a target's short requests and of its bulk requests, which wait apart. */
final class AdmissionQueues {
  /**
   * Weight in the pressure of queued requests whose waits are estimated: they may wait 8/3 as long,
   * and the full queue is to count as much as that of the shorter wait. At full weight the pressure
   * overshoots while the longer queue drains, and slots stay idle after it.
   */
  private static final double ESTIMATED_WEIGHT = 3.0 / 8;

  private final AdmissionQueue shortRequests;
  private final AdmissionQueue bulkRequests;

  /**
   * Creates empty queues.
   *
   * @param weightOf returns the weight of the client account of a request, above 0
   */
  AdmissionQueues(ToDoubleFunction<Ticket> weightOf) {
    shortRequests = new AdmissionQueue(weightOf);
    bulkRequests = new AdmissionQueue(weightOf);
  }

  /** Returns the queue that a request waits in. */
  AdmissionQueue of(Ticket t) {
    return t.isBulk() ? bulkRequests : shortRequests;
  }

  int size() {
    return shortRequests.size() + bulkRequests.size();
  }

  /**
   * Returns the number of queued requests as it counts in the pressure.
   *
   * @param estimated whether the waits of callers' short requests are estimated
   */
  double pressingSize(boolean estimated) {
    return estimated ? size() - (1 - ESTIMATED_WEIGHT) * shortRequests.estimableSize() : size();
  }

  int shortSize() {
    return shortRequests.size();
  }

  int bulkSize() {
    return bulkRequests.size();
  }

  Optional<Ticket> peekShort() {
    return shortRequests.peek();
  }

  Optional<Ticket> peekBulk() {
    return bulkRequests.peek();
  }

  /** Removes and returns the short requests that match. */
  List<Ticket> removeShortIf(Predicate<Ticket> p) {
    return shortRequests.removeIf(p);
  }

  /** Removes and returns the requests that match, the short ones first. */
  List<Ticket> removeIf(Predicate<Ticket> p) {
    List<Ticket> out = new ArrayList<>(shortRequests.removeIf(p));
    out.addAll(bulkRequests.removeIf(p));
    return out;
  }

  void removeIdleAccounts() {
    shortRequests.removeIdleAccounts();
    bulkRequests.removeIdleAccounts();
  }
}
