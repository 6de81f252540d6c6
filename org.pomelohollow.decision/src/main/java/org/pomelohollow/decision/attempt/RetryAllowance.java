package org.pomelohollow.decision.attempt;

/**
 * Retries that one call, or one running request, may still make or allocate to the calls below it.
 * Allocated retries are deducted here, so the sum over a call tree never increases.
 */
public final class RetryAllowance {
  private static final int MAX_RETAINED = 2;

  private int remaining;

  /**
   * Creates an allowance.
   *
   * @param remaining number of retries, 0 or more
   */
  public RetryAllowance(int remaining) {
    if (remaining < 0) {
      throw new IllegalArgumentException("retry allowance must not be negative: " + remaining);
    }
    this.remaining = remaining;
  }

  /** Returns the number of remaining retries. */
  public int remaining() {
    return remaining;
  }

  /**
   * Spends one retry.
   *
   * @return false if none remains
   */
  public boolean trySpend() {
    if (remaining == 0) {
      return false;
    }
    remaining--;
    return true;
  }

  /**
   * Deducts the retries that an attempt carries along. Up to two remain for retries of this call.
   *
   * @return retries for the call tree below the attempt
   */
  public int allocateToAttempt() {
    int allocated = remaining - Math.min(MAX_RETAINED, halfRoundedUp());
    remaining -= allocated;
    return allocated;
  }

  /**
   * Deducts the retries for a call that the running request makes: half of the remaining ones,
   * rounded up, so that later calls get some too.
   *
   * @return retries for the call and the call tree below it
   */
  public int allocateToCall() {
    int allocated = halfRoundedUp();
    remaining -= allocated;
    return allocated;
  }

  /**
   * Takes back the retries allocated to an attempt that reached no target, so that nothing below
   * the attempt can spend them.
   *
   * @param retries number of retries that {@link #allocateToAttempt} returned for the attempt
   */
  public void returnUnused(int retries) {
    remaining += retries;
  }

  /**
   * Adds the retries that another attempt of the same call carried along.
   *
   * @param retries number of retries
   */
  public void add(int retries) {
    remaining += retries;
  }

  private int halfRoundedUp() {
    return (remaining + 1) / 2;
  }
}
