package org.pomelohollow.decision.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.pomelohollow.model.Priority;

/** Waiting requests, the most important first, and fair between client accounts within each. */
final class AdmissionQueue {
  private final ToDoubleFunction<Ticket> weights;
  private final List<FairQueue> queues = new ArrayList<>();
  private int size;

  /**
   * Creates an empty queue.
   *
   * @param weights gives the weight of the account of a request, above 0
   */
  AdmissionQueue(ToDoubleFunction<Ticket> weights) {
    this.weights = weights;
    for (int i = 0; i <= Priority.MAX_COUNT; i++) {
      queues.add(new FairQueue());
    }
  }

  int size() {
    return size;
  }

  void add(Ticket t) {
    queue(t).add(t, weights.applyAsDouble(t));
    size++;
  }

  Optional<Ticket> peek() {
    return size == 0 ? Optional.empty() : first().peek();
  }

  Ticket poll() {
    Ticket t = first().poll();
    size--;
    return t;
  }

  /** Returns the request that would be served last. */
  Optional<Ticket> last() {
    for (int i = queues.size() - 1; i >= 0; i--) {
      if (queues.get(i).size() > 0) {
        return queues.get(i).last();
      }
    }
    return Optional.empty();
  }

  boolean remove(Ticket t) {
    boolean removed = queue(t).remove(t);
    if (removed) {
      size--;
    }
    return removed;
  }

  List<Ticket> removeIf(Predicate<Ticket> p) {
    if (size == 0) {
      return List.of();
    }
    List<Ticket> out = new ArrayList<>();
    queues.forEach(q -> out.addAll(q.removeIf(p)));
    size -= out.size();
    return out;
  }

  void settle(Ticket t, long heldNanos) {
    queue(t).settle(t, heldNanos);
  }

  void prune() {
    queues.forEach(FairQueue::prune);
  }

  private FairQueue first() {
    for (FairQueue q : queues) {
      if (q.size() > 0) {
        return q;
      }
    }
    throw new NoSuchElementException("no request waits");
  }

  private FairQueue queue(Ticket t) {
    return queues.get(t.context().priority().rank());
  }
}
