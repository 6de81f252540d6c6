package org.pomelohollow.model;

/**
 * Load that a target reports of itself in a response.
 *
 * @param running number of requests that it runs
 * @param waiting number of requests that wait in it
 * @param slots number of requests that it can run at once, at least 1
 * @param slowdown time that work takes on its host now, relative to its usual time; {@link
 *     TargetLoad#SLOWDOWN_UNKNOWN} if it does not report that
 */
public record ReportedLoad(int running, int waiting, int slots, double slowdown) {
  /** Greatest slowdown that is believed; it bounds the effect of a wrong report. */
  public static final double MAX_SLOWDOWN = 100;

  /** Least slowdown that is believed; a wrong one far below 1 makes usual times look very long. */
  public static final double MIN_SLOWDOWN = 0.25;

  /** Greatest number of requests or slots that is believed, for the same reason. */
  public static final int MAX_COUNT = 100_000;

  /** Checks the fields. */
  public ReportedLoad {
    if (running < 0 || waiting < 0 || slots < 1 || Math.max(running, waiting) > MAX_COUNT) {
      throw new IllegalArgumentException(
          "reported load " + running + ", " + waiting + ", " + slots);
    }
    if (!(slowdown >= 0 && slowdown <= MAX_SLOWDOWN)) {
      throw new IllegalArgumentException("reported slowdown " + slowdown);
    }
  }

  /** Returns whether the target reports its slowdown. */
  public boolean hasSlowdown() {
    return slowdown > 0;
  }

  /** Returns the slowdown as it is used: at least {@link #MIN_SLOWDOWN} if it is reported. */
  public double believedSlowdown() {
    return hasSlowdown() ? Math.max(MIN_SLOWDOWN, slowdown) : slowdown;
  }
}
