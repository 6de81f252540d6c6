package org.pomelohollow.decision.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.pomelohollow.model.Priority;

/**
 * Queue of requests that wait for a slot. Serves the most important priority first and shares the
 * slots fairly between client accounts within a priority.
 */
final class AdmissionQueue {
  /**
   * Factor on the queue's length for callers' requests whose waits are estimated, since a third of
   * an objective is several times the held time of most requests.
   */
  private static final int ESTIMATED_LENGTH_FACTOR = 4;

  private final ToDoubleFunction<Ticket> weightOf;
  private final List<FairQueue> queuesByRank = new ArrayList<>();
  private int size;
  private int estimableSize;

  /**
   * Creates an empty queue.
   *
   * @param weightOf returns the weight of the client account of a request, above 0
   */
  AdmissionQueue(ToDoubleFunction<Ticket> weightOf) {
    this.weightOf = weightOf;
    for (int i = 0; i <= Priority.MAX_COUNT; i++) {
      queuesByRank.add(new FairQueue());
    }
  }

  int size() {
    return size;
  }

  /**
   * Returns whether the queue is within its bound.
   *
   * @param bound longest queue
   * @param estimated whether the waits of callers' requests are estimated; more of them may wait
   */
  boolean isWithin(int bound, boolean estimated) {
    int counted = estimated ? size - estimableSize + estimableSize / ESTIMATED_LENGTH_FACTOR : size;
    return counted <= bound;
  }

  /** Returns the number of queued requests whose waits may be estimated: callers' requests. */
  int estimableSize() {
    return estimableSize;
  }

  /**
   * Returns about how many queued requests would be served before a new one: all of more important
   * priorities, and of its own those that the fair queue serves before the last of its account.
   */
  int ahead(Ticket t) {
    int rank = t.context().priority().rank();
    int moreImportant = queuesByRank.stream().limit(rank).mapToInt(FairQueue::size).sum();
    return moreImportant + queuesByRank.get(rank).ahead(t.context().account());
  }

  void add(Ticket t) {
    queue(t).add(t, weightOf.applyAsDouble(t));
    size++;
    estimableSize += estimableCount(t);
  }

  Optional<Ticket> peek() {
    return size == 0 ? Optional.empty() : firstNonEmptyQueue().peek();
  }

  Ticket poll() {
    Ticket t = firstNonEmptyQueue().poll();
    size--;
    estimableSize -= estimableCount(t);
    return t;
  }

  /** Returns the request that would be served last. */
  Optional<Ticket> last() {
    for (int i = queuesByRank.size() - 1; i >= 0; i--) {
      if (queuesByRank.get(i).size() > 0) {
        return queuesByRank.get(i).last();
      }
    }
    return Optional.empty();
  }

  boolean remove(Ticket t) {
    boolean removed = queue(t).remove(t);
    if (removed) {
      size--;
      estimableSize -= estimableCount(t);
    }
    return removed;
  }

  List<Ticket> removeIf(Predicate<Ticket> p) {
    if (size == 0) {
      return List.of();
    }
    List<Ticket> out = new ArrayList<>();
    queuesByRank.forEach(q -> out.addAll(q.removeIf(p)));
    size -= out.size();
    out.forEach(t -> estimableSize -= estimableCount(t));
    return out;
  }

  void correctCharge(Ticket t, long heldNanos) {
    queue(t).correctCharge(t, heldNanos);
  }

  void removeIdleAccounts() {
    queuesByRank.forEach(FairQueue::removeIdleAccounts);
  }

  private static int estimableCount(Ticket t) {
    return t.isCallersRequest() ? 1 : 0;
  }

  private FairQueue firstNonEmptyQueue() {
    for (FairQueue q : queuesByRank) {
      if (q.size() > 0) {
        return q;
      }
    }
    throw new NoSuchElementException("admission queue is empty");
  }

  private FairQueue queue(Ticket t) {
    return queuesByRank.get(t.context().priority().rank());
  }
}
