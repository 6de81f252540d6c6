package org.pomelohollow.decision.attempt;

import java.util.concurrent.TimeUnit;

/**
 * Bounds on retries.
 *
 * @param rootAllowance number of retries that a root request and all calls below it share
 * @param ratio retries to a service per successful request, 0 to 1
 * @param burst maximum number of accumulated retries to a service
 * @param firstBackoffNanos maximum backoff before the first retry, in nanoseconds
 * @param maxBackoffNanos maximum backoff before any retry, in nanoseconds
 */
public record RetrySettings(
    int rootAllowance, double ratio, double burst, long firstBackoffNanos, long maxBackoffNanos) {
  /** Default settings. */
  public static final RetrySettings DEFAULT =
      new RetrySettings(
          6, 0.1, 20, TimeUnit.MILLISECONDS.toNanos(25), TimeUnit.MILLISECONDS.toNanos(400));

  /** Checks the ranges. */
  public RetrySettings {
    if (rootAllowance < 0 || ratio < 0 || ratio > 1 || burst < 0) {
      throw new IllegalArgumentException(
          "retry settings out of range: rootAllowance "
              + rootAllowance
              + ", ratio "
              + ratio
              + ", burst "
              + burst);
    }
    if (firstBackoffNanos < 0 || maxBackoffNanos < firstBackoffNanos) {
      throw new IllegalArgumentException(
          "backoff range is invalid: " + firstBackoffNanos + " to " + maxBackoffNanos + " ns");
    }
  }

  /**
   * Returns the maximum backoff before a retry.
   *
   * @param retry ordinal of the retry, from 1
   * @return backoff in nanoseconds, doubled with each retry up to {@link #maxBackoffNanos}
   */
  public long backoffLimitNanos(int retry) {
    long limitNanos = firstBackoffNanos;
    for (int i = 1; i < retry && limitNanos < maxBackoffNanos; i++) {
      limitNanos *= 2;
    }
    return Math.min(limitNanos, maxBackoffNanos);
  }
}
