package org.pomelohollow.decision.attempt;

import java.util.concurrent.TimeUnit;

/**
 * Bounds on extra attempts.
 *
 * @param rootAllowance extra attempts that a root request and all calls below it share
 * @param ratio extra attempts to a service per successful request
 * @param burst extra attempts to a service at once, beyond the ratio
 * @param firstBackoffNanos longest wait before the first extra attempt, in nanoseconds
 * @param maxBackoffNanos longest wait before any extra attempt, in nanoseconds
 */
public record RetrySettings(
    int rootAllowance, double ratio, double burst, long firstBackoffNanos, long maxBackoffNanos) {
  /** Settings of a daemon that is told nothing else. */
  public static final RetrySettings DEFAULT =
      new RetrySettings(
          6, 0.1, 20, TimeUnit.MILLISECONDS.toNanos(25), TimeUnit.MILLISECONDS.toNanos(400));

  /** Checks the ranges. */
  public RetrySettings {
    if (rootAllowance < 0 || ratio < 0 || ratio > 1 || burst < 0) {
      throw new IllegalArgumentException(
          "allowance " + rootAllowance + ", ratio " + ratio + ", burst " + burst);
    }
    if (firstBackoffNanos < 0 || maxBackoffNanos < firstBackoffNanos) {
      throw new IllegalArgumentException(
          "backoff " + firstBackoffNanos + " to " + maxBackoffNanos + " ns");
    }
  }

  /**
   * Returns the longest wait before an extra attempt.
   *
   * @param extra ordinal of the extra attempt, from 1
   * @return nanoseconds, doubled from one to the next up to the maximum
   */
  public long backoffNanos(int extra) {
    long n = firstBackoffNanos;
    for (int i = 1; i < extra && n < maxBackoffNanos; i++) {
      n *= 2;
    }
    return Math.min(n, maxBackoffNanos);
  }
}
