package org.pomelohollow.model;

/**
 * Decay of a reported slowdown with its age towards 1, the usual speed. It is exponential, so that
 * the decays at the target's daemon and at an entry daemon compose without sending the age.
 */
public final class SlowdownDecay {
  /** Time after a report for which it is used, in nanoseconds. */
  public static final long VALID_NANOS = 1_000_000_000L;

  /** A host that is slow for 0.6 s and usual for 3.4 s on average forgets its state in 0.51 s. */
  private static final double TIME_CONSTANT_NANOS = 500e6;

  private SlowdownDecay() {}

  /**
   * Returns the slowdown to assume some time after it was reported.
   *
   * @param slowdown slowdown as reported, {@link TargetLoad#SLOWDOWN_UNKNOWN} if unknown
   * @param ageNanos time since the report, in nanoseconds
   * @return the slowdown; {@link TargetLoad#SLOWDOWN_UNKNOWN} if it was unknown or is too old
   */
  public static double decayed(double slowdown, long ageNanos) {
    if (slowdown <= 0 || ageNanos >= VALID_NANOS) {
      return TargetLoad.SLOWDOWN_UNKNOWN;
    }
    return 1 + (slowdown - 1) * Math.exp(-Math.max(0, ageNanos) / TIME_CONSTANT_NANOS);
  }
}
