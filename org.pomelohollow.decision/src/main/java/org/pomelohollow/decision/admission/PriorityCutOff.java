package org.pomelohollow.decision.admission;

import java.util.Arrays;
import org.pomelohollow.model.Priority;

/**
 * Determines the cut-off: the least important priority whose requests are still served.
 *
 * <p>A priority is cut off when nearly all of its requests are shed and nearly none is started. The
 * cut-off is extended by one less important priority at a time while slots are idle. The idle share
 * that this takes is larger than the share of the slots that a priority had when it was cut off, so
 * that the cut-off does not oscillate.
 */
final class PriorityCutOff {
  private static final long WINDOW_NANOS = 200_000_000L;
  private static final int MIN_SHED_REQUESTS = 10;

  /** Share of its own requests that were shed from which on a priority can be cut off. */
  private static final double MIN_SHED_SHARE = 0.9;

  /** Share of all started requests below which a priority can be cut off. */
  private static final double MAX_STARTED_SHARE = 0.02;

  /** Idle share of the slot time above which the cut-off is extended; above the started share. */
  private static final double MIN_IDLE_SHARE = 0.04;

  private final int[] started = new int[Priority.MAX_COUNT + 1];
  private final int[] shed = new int[Priority.MAX_COUNT + 1];
  private int cutOffRank = Priority.MAX_COUNT;
  private int lowestRank = Priority.MAX_COUNT;
  private double idleSlotNanos;
  private double slotNanos;
  private long updatedNanos = Long.MIN_VALUE;
  private long windowStartNanos;

  /** Returns the cut-off, {@link Priority#NONE_SHED} if all priorities are served. */
  Priority current() {
    return cutOffRank >= lowestRank ? Priority.NONE_SHED : new Priority(cutOffRank);
  }

  void setPriorityCount(int count) {
    lowestRank = count - 1;
  }

  void recordStart(Priority p) {
    started[p.rank()]++;
  }

  void recordShed(Priority p) {
    shed[p.rank()]++;
  }

  /**
   * Adds the time since the last call to the idle and the available slot time.
   *
   * @param limit highest number of requests in flight, at present
   * @param inFlight requests in flight since the last call
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void update(int limit, int inFlight, long nowNanos) {
    if (updatedNanos == Long.MIN_VALUE) {
      updatedNanos = nowNanos;
      windowStartNanos = nowNanos;
    }
    double elapsedNanos = nowNanos - updatedNanos;
    updatedNanos = nowNanos;
    slotNanos += elapsedNanos * limit;
    idleSlotNanos += elapsedNanos * Math.max(0, limit - inFlight);
    if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
      endWindow(nowNanos);
    }
  }

  /** Adapts the cut-off to the finished window, and starts the next one. */
  private void endWindow(long nowNanos) {
    if (idleSlotNanos > MIN_IDLE_SHARE * slotNanos) {
      cutOffRank = cutOffRank >= lowestRank ? Priority.MAX_COUNT : cutOffRank + 1;
    } else {
      cutOffIfStarved();
    }
    Arrays.fill(started, 0);
    Arrays.fill(shed, 0);
    idleSlotNanos = 0;
    slotNanos = 0;
    windowStartNanos = nowNanos;
  }

  /** Cuts off the least important priority that had requests, if it was starved. */
  private void cutOffIfStarved() {
    int totalStarted = Arrays.stream(started).sum();
    for (int p = Math.min(cutOffRank, lowestRank); p > 0; p--) {
      if (shed[p] == 0 && started[p] == 0) {
        continue;
      }
      boolean starved =
          started[p] < MAX_STARTED_SHARE * totalStarted && shed[p] >= MIN_SHED_REQUESTS;
      if (starved && shed[p] > MIN_SHED_SHARE * (shed[p] + started[p])) {
        cutOffRank = p - 1;
      }
      return;
    }
  }
}
