package org.pomelohollow.decision.admission;

import java.util.concurrent.TimeUnit;
import org.pomelohollow.errors.ErrorCode;

/**
 * Tracks the overload of a target, to bound the time in the queue and to choose the retry delay of
 * shed requests.
 *
 * <p>The two bounds on the time in the queue are those of Maurer, "Fail at Scale", ACM Queue 2015:
 * a long one while the queue has recently been empty, so that bursts are absorbed, and a short one
 * while there is a standing queue.
 */
final class OverloadTracker {
  private static final long BURST_WAIT_NANOS = 100_000_000L;
  private static final long STANDING_WAIT_NANOS = 20_000_000L;

  /** Time without a shed request after which an overload has ended. */
  private static final long OVERLOAD_END_NANOS = 1_000_000_000L;

  private static final long MIN_RETRY_MILLIS = 200;
  private static final long MAX_RETRY_MILLIS = 5_000;

  private long lastEmptyNanos = Long.MIN_VALUE;
  private long overloadStartNanos;
  private long lastShedNanos = Long.MIN_VALUE;

  void recordEmptyQueue(long nowNanos) {
    lastEmptyNanos = nowNanos;
  }

  /** Returns the longest time that a request may be queued, in nanoseconds. */
  long waitBoundNanos(long nowNanos) {
    boolean standing =
        lastEmptyNanos != Long.MIN_VALUE && nowNanos - lastEmptyNanos > BURST_WAIT_NANOS;
    return standing ? STANDING_WAIT_NANOS : BURST_WAIT_NANOS;
  }

  void recordShed(long nowNanos) {
    if (lastShedNanos == Long.MIN_VALUE || nowNanos - lastShedNanos > OVERLOAD_END_NANOS) {
      overloadStartNanos = nowNanos;
    }
    lastShedNanos = nowNanos;
  }

  /**
   * Returns the time after which a refused request may be sent again: half the duration of the
   * overload so far, within bounds, in milliseconds; 0 if it was not shed.
   */
  long retryAfterMillis(ErrorCode code, long nowNanos) {
    return switch (code) {
      case OVERLOADED, TARGET_COLD, TARGET_RATE_LIMITED -> {
        long halfMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - overloadStartNanos) / 2;
        yield Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, halfMillis));
      }
      default -> 0;
    };
  }
}
