package org.pomelohollow.decision.quota;

import java.util.concurrent.TimeUnit;

/**
 * Timeouts and durations of the quota protocol, in nanoseconds. All daemons of a deployment must
 * use the same values.
 *
 * @param leaseNanos time that a holder may lend, counted from when it sent a renewal that its
 *     witness acknowledged; longer than {@code suspicionTimeoutNanos}
 * @param renewalIntervalNanos interval between two lease renewals, positive
 * @param suspicionTimeoutNanos silence after which a witness or holder is presumed dead and
 *     replaced
 * @param loanNanos time that a borrower may spend a loan, counted from when it sent the request;
 *     positive
 * @param claimExpiryNanos time that a holder may lend, counted from when it sent its last accepted
 *     claim; longer than {@code leaseNanos}. The platform must retain the quota stream for longer.
 * @param acquireTimeoutNanos longest time that a request waits for a token
 * @param stabilizationNanos time after start, or without a change of the zones in the roster,
 *     before pieces without a holder are claimed
 */
public record QuotaSettings(
    long leaseNanos,
    long renewalIntervalNanos,
    long suspicionTimeoutNanos,
    long loanNanos,
    long claimExpiryNanos,
    long acquireTimeoutNanos,
    long stabilizationNanos) {
  /** Greatest relative rate error of a host's monotonic clock, as a fraction. */
  public static final double MAX_CLOCK_DRIFT = 5e-4;

  /**
   * Factor for durations timed by two clocks: more than twice the greatest error, since one may run
   * slow and the other fast.
   */
  private static final double DRIFT_FACTOR = 1 + 4 * MAX_CLOCK_DRIFT;

  /** Checks that the durations are positive and that each lease and claim lasts long enough. */
  public QuotaSettings {
    if (renewalIntervalNanos <= 0
        || loanNanos <= 0
        || leaseNanos <= suspicionTimeoutNanos
        || claimExpiryNanos <= leaseNanos) {
      throw new IllegalArgumentException(
          "need renewal interval > 0, loan > 0, lease > suspicion timeout and claim expiry > lease,"
              + " but renewal interval is "
              + renewalIntervalNanos
              + ", loan "
              + loanNanos
              + ", suspicion timeout "
              + suspicionTimeoutNanos
              + ", lease "
              + leaseNanos
              + ", claim expiry "
              + claimExpiryNanos
              + " ns");
    }
  }

  /** Returns the settings of a real deployment, as opposed to those of tests. */
  public static QuotaSettings standard() {
    return new QuotaSettings(
        TimeUnit.MILLISECONDS.toNanos(2_000),
        TimeUnit.MILLISECONDS.toNanos(300),
        TimeUnit.MILLISECONDS.toNanos(1_000),
        TimeUnit.MILLISECONDS.toNanos(750),
        TimeUnit.HOURS.toNanos(4),
        TimeUnit.MILLISECONDS.toNanos(150),
        TimeUnit.MILLISECONDS.toNanos(1_000));
  }

  /**
   * Lengthens a duration by the clock drift between two hosts: once the result has passed on this
   * host's clock, the given duration has passed on the clock of any other host.
   *
   * @param nanos duration on the other host's clock, in nanoseconds
   * @return the longer duration to wait on this host's clock, in nanoseconds
   */
  static long withDriftMargin(long nanos) {
    return (long) Math.ceil(nanos * DRIFT_FACTOR);
  }
}
