package org.pomelohollow.decision.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Lets suspects to a target one after the other, so that the next death tells which one it was.
 *
 * @param <T> kind of what waits
 */
public final class SuspectQueue<T> {
  private static final int MAX_WAITING = 256;

  private final Deque<Waiting<T>> queue = new ArrayDeque<>();
  private final long maxWaitNanos;
  private Optional<T> first = Optional.empty();

  /**
   * Creates an empty lane.
   *
   * @param maxWaitNanos longest wait, in nanoseconds
   */
  public SuspectQueue(long maxWaitNanos) {
    this.maxWaitNanos = maxWaitNanos;
  }

  /**
   * Lets a suspect in or queues it.
   *
   * @param t the suspect
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if it may go on now
   */
  public boolean admitOrEnqueue(T t, long nowNanos) {
    if (first.isEmpty()) {
      first = Optional.of(t);
      return true;
    }
    queue.add(new Waiting<>(t, nowNanos));
    return false;
  }

  /**
   * Takes a suspect out, wherever it is.
   *
   * @param t the suspect
   * @return the next one, if it may go on now
   */
  public Optional<T> removeAndAdmitNext(T t) {
    queue.removeIf(w -> w.suspect == t);
    if (first.filter(f -> f == t).isEmpty()) {
      return Optional.empty();
    }
    first = Optional.ofNullable(queue.poll()).map(Waiting::suspect);
    return first;
  }

  /**
   * Takes out the suspects that have waited too long.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the suspects, in order
   */
  public List<T> removeExpired(long nowNanos) {
    List<T> out = new ArrayList<>();
    while (!queue.isEmpty() && nowNanos - queue.peek().sinceNanos > maxWaitNanos) {
      out.add(queue.remove().suspect);
    }
    return out;
  }

  /** Returns whether no more suspects may wait. */
  public boolean isFull() {
    return queue.size() >= MAX_WAITING;
  }

  /** Returns the number of suspects that wait. */
  public int waitingCount() {
    return queue.size();
  }

  private record Waiting<T>(T suspect, long sinceNanos) {}
}
