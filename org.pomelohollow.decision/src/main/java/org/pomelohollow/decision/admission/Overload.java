package org.pomelohollow.decision.admission;

import java.util.concurrent.TimeUnit;

/**
 * Tells how long requests may wait, and when refused ones may come again.
 *
 * <p>The two bounds on waiting are those of Maurer, "Fail at Scale", ACM Queue 2015: a long one
 * while the queue has lately been empty, so that bursts are absorbed, and a short one while it
 * stands.
 */
final class Overload {
  private static final long BURST_WAIT_NANOS = 100_000_000L;
  private static final long STANDING_WAIT_NANOS = 20_000_000L;
  private static final long CALM_NANOS = 1_000_000_000L;
  private static final long LEAST_RETRY_MILLIS = 200;
  private static final long MOST_RETRY_MILLIS = 5_000;

  private long emptyNanos = Long.MIN_VALUE;
  private long shedSinceNanos;
  private long lastShedNanos = Long.MIN_VALUE;

  void queueEmpty(long nowNanos) {
    emptyNanos = nowNanos;
  }

  /** Returns how long a request may wait. */
  long waitBoundNanos(long nowNanos) {
    boolean standing = emptyNanos != Long.MIN_VALUE && nowNanos - emptyNanos > BURST_WAIT_NANOS;
    return standing ? STANDING_WAIT_NANOS : BURST_WAIT_NANOS;
  }

  void shed(long nowNanos) {
    if (lastShedNanos == Long.MIN_VALUE || nowNanos - lastShedNanos > CALM_NANOS) {
      shedSinceNanos = nowNanos;
    }
    lastShedNanos = nowNanos;
  }

  /** Returns half the time that the overload has lasted, within bounds, in milliseconds. */
  long retryAfterMillis(long nowNanos) {
    long half = TimeUnit.NANOSECONDS.toMillis(nowNanos - shedSinceNanos) / 2;
    return Math.max(LEAST_RETRY_MILLIS, Math.min(MOST_RETRY_MILLIS, half));
  }
}
