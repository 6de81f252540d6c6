package org.pomelohollow.decision.claim;

import java.util.concurrent.TimeUnit;

/**
 * Bounds on claims.
 *
 * @param windowNanos how long a resend is recognised, in nanoseconds
 * @param timeoutNanos longest wait for witnesses, in nanoseconds
 * @param maxClaims most claims that one daemon witnesses
 * @param maxAnswerBytes most bytes of recorded answers that one daemon keeps
 * @param maxRecordedBytes most bytes of one recorded answer
 */
public record ClaimSettings(
    long windowNanos, long timeoutNanos, int maxClaims, long maxAnswerBytes, int maxRecordedBytes) {
  /** Settings of a daemon that is told nothing else. */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(
          TimeUnit.MINUTES.toNanos(10), TimeUnit.SECONDS.toNanos(1), 50_000, 32L << 20, 64 << 10);

  /** Checks the ranges. */
  public ClaimSettings {
    if (timeoutNanos < 1 || windowNanos < 4 * timeoutNanos) {
      throw new IllegalArgumentException(
          "window " + windowNanos + " ns, timeout " + timeoutNanos + " ns");
    }
    if (maxClaims < 1 || maxAnswerBytes < 0 || maxRecordedBytes < 0) {
      throw new IllegalArgumentException(
          maxClaims + " claims, " + maxAnswerBytes + " and " + maxRecordedBytes + " bytes");
    }
  }
}
