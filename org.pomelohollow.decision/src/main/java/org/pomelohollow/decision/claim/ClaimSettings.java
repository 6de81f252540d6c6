package org.pomelohollow.decision.claim;

import java.util.concurrent.TimeUnit;

/**
 * Limits on claims.
 *
 * @param windowNanos claim window: time for which a resend is recognised, in nanoseconds, at least
 *     four times {@code timeoutNanos}
 * @param timeoutNanos longest wait for the witnesses of a claim, in nanoseconds, at least 1
 * @param maxClaims most claims that one daemon records as a witness, at least 1
 * @param maxTotalResponseBytes most bytes of recorded responses that one daemon stores in total
 * @param maxBytesPerResponse most bytes of one recorded response
 */
public record ClaimSettings(
    long windowNanos,
    long timeoutNanos,
    int maxClaims,
    long maxTotalResponseBytes,
    int maxBytesPerResponse) {
  /** Settings of a daemon that has no others configured. */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(
          TimeUnit.MINUTES.toNanos(10), TimeUnit.SECONDS.toNanos(1), 50_000, 32L << 20, 64 << 10);

  /** Checks the ranges. */
  public ClaimSettings {
    if (timeoutNanos < 1 || windowNanos < 4 * timeoutNanos) {
      throw new IllegalArgumentException(
          "claim window of "
              + windowNanos
              + " ns must be at least four times the timeout of "
              + timeoutNanos
              + " ns, which must be positive");
    }
    if (maxClaims < 1 || maxTotalResponseBytes < 0 || maxBytesPerResponse < 0) {
      throw new IllegalArgumentException(
          maxClaims
              + " claims (at least 1), "
              + maxTotalResponseBytes
              + " bytes of responses in total, "
              + maxBytesPerResponse
              + " bytes per response (neither may be negative)");
    }
  }
}
