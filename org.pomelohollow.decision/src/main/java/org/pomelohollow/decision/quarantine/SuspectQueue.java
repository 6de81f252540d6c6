package org.pomelohollow.decision.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Queue that admits suspects to a target one at a time, first in, first out. If the target crashes,
 * the admitted suspect is the one to blame.
 *
 * @param <T> type of the queued suspects, compared by identity
 */
public final class SuspectQueue<T> {
  /** Waiting suspects at which the queue is full. */
  private static final int MAX_WAITING = 256;

  private final Deque<Waiter<T>> queue = new ArrayDeque<>();
  private final long maxWaitNanos;
  private Optional<T> admitted = Optional.empty();

  /**
   * Creates an empty queue.
   *
   * @param maxWaitNanos longest wait of a suspect, in nanoseconds
   */
  public SuspectQueue(long maxWaitNanos) {
    this.maxWaitNanos = maxWaitNanos;
  }

  /**
   * Admits a suspect if no other is admitted, and queues it otherwise, even if the queue is full.
   *
   * @param suspect the suspect
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if it was admitted, false if it was queued
   */
  public boolean admitOrEnqueue(T suspect, long nowNanos) {
    if (admitted.isEmpty()) {
      admitted = Optional.of(suspect);
      return true;
    }
    queue.add(new Waiter<>(suspect, nowNanos));
    return false;
  }

  /**
   * Removes a suspect that is admitted or waits. If it was admitted, admits the next one.
   *
   * @param suspect the suspect
   * @return the suspect that is admitted now; empty if none was admitted by this call
   */
  public Optional<T> removeAndAdmitNext(T suspect) {
    queue.removeIf(w -> w.suspect == suspect);
    if (admitted.filter(f -> f == suspect).isEmpty()) {
      return Optional.empty();
    }
    admitted = Optional.ofNullable(queue.poll()).map(Waiter::suspect);
    return admitted;
  }

  /**
   * Removes the suspects that have waited longer than the longest wait.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the removed suspects, the longest waiting first
   */
  public List<T> removeExpired(long nowNanos) {
    List<T> expired = new ArrayList<>();
    while (!queue.isEmpty() && nowNanos - queue.peek().enqueuedNanos > maxWaitNanos) {
      expired.add(queue.remove().suspect);
    }
    return expired;
  }

  /** Returns whether the limit of waiting suspects is reached. */
  public boolean isFull() {
    return queue.size() >= MAX_WAITING;
  }

  /** Returns the number of waiting suspects, without the admitted one. */
  public int waitingCount() {
    return queue.size();
  }

  private record Waiter<T>(T suspect, long enqueuedNanos) {}
}
