package org.pomelohollow.decision.admission;

/**
 * Tells entries how much of the work for a target to refuse before any of it is done.
 *
 * <p>A proportional-integral controller on the load of the target, running and waiting requests
 * over the limit, in short windows. The pressure rises above 0 while there is more work than the
 * target runs, and falls while slots are idle; entries refuse that share of the least important
 * requests, from 1 on all of them and a share of the next more important ones, and so on.
 *
 * <p>Answers the load that comes through calls: what reaches the target was admitted several
 * services above, some hundred milliseconds earlier. The integral gain is below the inverse of that
 * delay, or the pressure would swing between refusing all and nothing.
 */
final class Pressure {
  private static final long WINDOW_NANOS = 100_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;

  /** All slots run and nothing waits; what waits a little keeps the slots filled. */
  private static final double TARGET_LOAD = 1.0;

  /** Pressure per second and unit of load above the target. */
  private static final double INTEGRAL_GAIN = 0.35;

  private static final double PROPORTIONAL_GAIN = 0.4;
  private static final double SMOOTHING = 0.5;
  private static final double MOST_BELOW = -0.6;
  private static final double MOST_ABOVE = 1.0;

  /** Time that counts after a pause of the process. */
  private static final double LONGEST_WINDOW_SECONDS = 0.5;

  private final double greatest;
  private double integral;
  private double error;
  private double loadNanos;
  private double lastLoad;
  private long atNanos = Long.MIN_VALUE;
  private long windowNanos;

  /**
   * Creates a controller without pressure.
   *
   * @param greatest greatest pressure: the number of priorities that can be refused
   */
  Pressure(double greatest) {
    this.greatest = greatest;
  }

  double value() {
    return Math.max(0, Math.min(greatest, integral + PROPORTIONAL_GAIN * error));
  }

  /** Adds the time since the last call, with the work and the limit that it had. */
  void elapse(int work, int limit, long nowNanos) {
    if (atNanos == Long.MIN_VALUE) {
      atNanos = nowNanos;
      windowNanos = nowNanos;
    }
    loadNanos += (nowNanos - atNanos) * lastLoad;
    atNanos = nowNanos;
    lastLoad = limit > 0 ? (double) work / limit : 0;
    long passed = nowNanos - windowNanos;
    if (passed >= WINDOW_NANOS) {
      adapt(loadNanos / passed, passed / NANOS_PER_SECOND);
      loadNanos = 0;
      windowNanos = nowNanos;
    }
  }

  private void adapt(double load, double seconds) {
    double e = Math.max(MOST_BELOW, Math.min(MOST_ABOVE, load - TARGET_LOAD));
    error += SMOOTHING * (e - error);
    double step = INTEGRAL_GAIN * Math.min(seconds, LONGEST_WINDOW_SECONDS) * e;
    integral = Math.max(0, Math.min(greatest, integral + step));
  }
}
