package org.pomelohollow.decision.attempt;

/**
 * Extra attempts that one call, or one running request, may still spend or hand out. What is handed
 * out is never counted here again, so the sum over a call tree only falls.
 */
public final class RetryAllowance {
  private static final int MAX_KEPT = 2;

  private int left;

  /**
   * Creates an allowance.
   *
   * @param left extra attempts, 0 or more
   */
  public RetryAllowance(int left) {
    if (left < 0) {
      throw new IllegalArgumentException("allowance " + left);
    }
    this.left = left;
  }

  /** Returns what is left. */
  public int left() {
    return left;
  }

  /**
   * Takes one extra attempt.
   *
   * @return false if none is left
   */
  public boolean spend() {
    if (left == 0) {
      return false;
    }
    left--;
    return true;
  }

  /**
   * Takes out what rides along with an attempt. A few stay for further attempts of this call.
   *
   * @return the part for the tree below the attempt
   */
  public int handToAttempt() {
    int part = left - Math.min(MAX_KEPT, half());
    left -= part;
    return part;
  }

  /**
   * Takes out what a call made by the running request gets: half of the rest, so that later calls
   * get some too.
   *
   * @return the part for the call and the tree below it
   */
  public int handToCall() {
    int part = half();
    left -= part;
    return part;
  }

  /**
   * Puts back what an attempt got that reached no target, so that nothing below it can spend it.
   *
   * @param part what {@link #handToAttempt} returned for it
   */
  public void returnUnused(int part) {
    left += part;
  }

  /**
   * Adds what another attempt of the same call brought along.
   *
   * @param part extra attempts
   */
  public void add(int part) {
    left += part;
  }

  private int half() {
    return (left + 1) / 2;
  }
}
