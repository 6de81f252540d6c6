package org.pomelohollow.decision.admission;

import java.util.Arrays;
import org.pomelohollow.model.Priority;

/**
 * Finds the least important priority that still gets a part of the target.
 *
 * <p>A priority is cut off when nearly all of its requests are shed and it gets nearly no slots;
 * the cut-off is raised by one priority at a time when slots are idle. What is idle before the
 * cut-off is raised exceeds what a priority got when it was cut off, so that the two don't
 * alternate.
 */
final class CutOff {
  private static final long WINDOW_NANOS = 200_000_000L;
  private static final int LEAST_SHED = 10;
  private static final double SHED_SHARE = 0.9;
  private static final double START_SHARE = 0.02;
  private static final double IDLE_SHARE = 0.04;

  private final int[] started = new int[Priority.MAX_COUNT + 1];
  private final int[] shed = new int[Priority.MAX_COUNT + 1];
  private int cutOff = Priority.MAX_COUNT;
  private int leastImportant = Priority.MAX_COUNT;
  private double idleNanos;
  private double capacityNanos;
  private long atNanos = Long.MIN_VALUE;
  private long windowNanos;

  Priority get() {
    return cutOff >= leastImportant ? Priority.NONE_SHED : new Priority(cutOff);
  }

  void setPriorities(int count) {
    leastImportant = count - 1;
  }

  void started(Priority p) {
    started[p.rank()]++;
  }

  void shed(Priority p) {
    shed[p.rank()]++;
  }

  /** Adds the time since the last call, with the limit and requests in flight that it had. */
  void elapse(int limit, int inFlight, long nowNanos) {
    if (atNanos == Long.MIN_VALUE) {
      atNanos = nowNanos;
      windowNanos = nowNanos;
    }
    double d = nowNanos - atNanos;
    atNanos = nowNanos;
    capacityNanos += d * limit;
    idleNanos += d * Math.max(0, limit - inFlight);
    if (nowNanos - windowNanos >= WINDOW_NANOS) {
      endWindow(nowNanos);
    }
  }

  private void endWindow(long nowNanos) {
    if (idleNanos > IDLE_SHARE * capacityNanos) {
      cutOff = cutOff >= leastImportant ? Priority.MAX_COUNT : cutOff + 1;
    } else {
      lower();
    }
    Arrays.fill(started, 0);
    Arrays.fill(shed, 0);
    idleNanos = 0;
    capacityNanos = 0;
    windowNanos = nowNanos;
  }

  private void lower() {
    int all = Arrays.stream(started).sum();
    for (int p = Math.min(cutOff, leastImportant); p > 0; p--) {
      if (shed[p] == 0 && started[p] == 0) {
        continue;
      }
      boolean starved = started[p] < START_SHARE * all && shed[p] >= LEAST_SHED;
      if (starved && shed[p] > SHED_SHARE * (shed[p] + started[p])) {
        cutOff = p - 1;
      }
      return;
    }
  }
}
