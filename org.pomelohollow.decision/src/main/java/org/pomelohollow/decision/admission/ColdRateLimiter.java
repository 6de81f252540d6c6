package org.pomelohollow.decision.admission;

import java.util.concurrent.TimeUnit;
import org.pomelohollow.document.ColdStartRate;

/**
 * Rate limiter for a cold target for which the operator states a request rate.
 *
 * <p>A token bucket that fills at 1.2 times the stated rate: the requests started in any one second
 * are at most that number and the burst.
 */
final class ColdRateLimiter {
  /** Factor on the stated rate; targets withstand 1.5 times the stated rate. */
  private static final double RATE_FACTOR = 1.2;

  /** Capacity of the bucket, in requests. */
  private static final double BURST = 3;

  private static final double NANOS_PER_SECOND = 1e9;

  private final ColdStartRate coldRate;
  private boolean cold;
  private long coldUntilNanos;
  private double tokens = 1;
  private long filledNanos;

  ColdRateLimiter(ColdStartRate coldRate) {
    this.coldRate = coldRate;
  }

  /** Treats the target as cold for the whole cold time that the operator states. */
  void restartColdTime(long nowNanos) {
    startColdTime(coldRate.durationMillis(), nowNanos);
  }

  /** Sets the remaining cold time that the target announced, in milliseconds; 0 if it is warm. */
  void setRemainingColdTime(long millis, long nowNanos) {
    if (millis > 0) {
      startColdTime(millis, nowNanos);
    } else {
      cold = false;
    }
  }

  boolean isCold(long nowNanos) {
    cold = cold && coldUntilNanos - nowNanos > 0;
    return cold;
  }

  /**
   * Returns the limit advertised to peers for a cold target: the requests of 100 ms at its rate.
   */
  int equivalentLimit() {
    return (int)
        Math.max(1, coldRate.requestsPerSecond() * TimeUnit.MILLISECONDS.toNanos(100) / 1e9);
  }

  /** Returns whether a request may start now. */
  boolean mayStart(long nowNanos) {
    refill(nowNanos);
    return !isCold(nowNanos) || tokens >= 1;
  }

  /** Records that a request started, and takes its token. */
  void recordStart(long nowNanos) {
    refill(nowNanos);
    tokens = Math.max(0, tokens - 1);
  }

  private void startColdTime(long millis, long nowNanos) {
    refill(nowNanos);
    if (!isCold(nowNanos)) {
      tokens = Math.min(tokens, 1);
    }
    cold = true;
    coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void refill(long nowNanos) {
    double passedSeconds = Math.max(0, nowNanos - filledNanos) / NANOS_PER_SECOND;
    tokens = Math.min(BURST, tokens + passedSeconds * coldRate.requestsPerSecond() * RATE_FACTOR);
    filledNanos = nowNanos;
  }
}
