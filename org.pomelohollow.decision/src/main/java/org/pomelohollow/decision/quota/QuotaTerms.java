package org.pomelohollow.decision.quota;

import java.util.concurrent.TimeUnit;

/**
 * Durations of leases and loans, in nanoseconds.
 *
 * @param lease time that a holder may lend after it sent a renewal that its witness acknowledged
 * @param renewal time between two renewals
 * @param suspicion silence after which a witness or holder is replaced
 * @param loan time that a borrower may spend a loan after it asked for it
 * @param fence time that a holder may lend after it sent its last accepted claim; the platform must
 *     retain the stream for longer
 * @param answer time that a request waits for a token
 * @param grace time after start, or of a stable roster, before pieces are placed
 */
public record QuotaTerms(
    long lease, long renewal, long suspicion, long loan, long fence, long answer, long grace) {
  /** Greatest relative error of a monotonic clock. */
  public static final double MAX_DRIFT = 5e-4;

  private static final double MARGIN = 1 + 4 * MAX_DRIFT;

  /** Checks the order of the terms. */
  public QuotaTerms {
    if (renewal <= 0 || loan <= 0 || lease <= suspicion || fence <= lease) {
      throw new IllegalArgumentException("lease " + lease + ", fence " + fence);
    }
  }

  /** Returns the terms of a deployment. */
  public static QuotaTerms standard() {
    return new QuotaTerms(
        TimeUnit.MILLISECONDS.toNanos(2_000),
        TimeUnit.MILLISECONDS.toNanos(300),
        TimeUnit.MILLISECONDS.toNanos(1_000),
        TimeUnit.MILLISECONDS.toNanos(750),
        TimeUnit.HOURS.toNanos(4),
        TimeUnit.MILLISECONDS.toNanos(150),
        TimeUnit.MILLISECONDS.toNanos(1_000));
  }

  /**
   * Returns a duration after which another clock has certainly measured the given one.
   *
   * @param nanos duration on the other clock
   * @return longer duration on this clock
   */
  static long padded(long nanos) {
    return (long) Math.ceil(nanos * MARGIN);
  }
}
