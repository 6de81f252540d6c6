package org.pomelohollow.junit;

import java.time.Duration;
import java.util.PriorityQueue;

/** Virtual time with a queue of actions that run when it reaches their time. */
final class VirtualTime {
  private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
  private long scheduledCount;
  private long nowNanos = -Duration.ofHours(1).toNanos();

  /** Returns the current virtual time, in nanoseconds. */
  long nowNanos() {
    return nowNanos;
  }

  /**
   * Schedules an action. Actions that are due at the same time run in the order of their
   * scheduling.
   *
   * @param delayNanos time from now, in nanoseconds
   * @param task the action
   */
  void schedule(long delayNanos, Runnable task) {
    queue.add(new ScheduledAction(nowNanos + delayNanos, scheduledCount++, task));
  }

  /** Advances the time and runs the actions that fall due. */
  void runFor(Duration d) {
    long end = nowNanos + d.toNanos();
    while (!queue.isEmpty() && queue.peek().atNanos <= end) {
      ScheduledAction a = queue.remove();
      nowNanos = a.atNanos;
      a.task.run();
    }
    nowNanos = end;
  }

  /** Action that is due at a time; among equal times the sequence number decides. */
  private record ScheduledAction(long atNanos, long sequence, Runnable task)
      implements Comparable<ScheduledAction> {
    @Override
    public int compareTo(ScheduledAction o) {
      int byTime = Long.compare(atNanos, o.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, o.sequence);
    }
  }
}
