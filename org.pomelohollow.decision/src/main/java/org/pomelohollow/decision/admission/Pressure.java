package org.pomelohollow.decision.admission;

/**
 * Tells entries how much of the work for a target to refuse before any of it is done.
 *
 * <p>An integral controller on the load of the target, running and waiting requests over the limit,
 * in windows. The pressure rises above 0 while there is more work than the target runs, and falls
 * while slots are idle; entries refuse that share of the least important requests, from 1 on all of
 * them and a share of the next more important ones, and so on.
 *
 * <p>Answers the load that comes through calls: what reaches the target was admitted several
 * services above, some hundred milliseconds earlier, so the gain is low and the windows are short.
 */
final class Pressure {
  private static final long WINDOW_NANOS = 100_000_000L;
  private static final double TARGET_LOAD = 0.9;
  private static final double GAIN = 0.25;
  private static final double MOST_RISE = 0.15;
  private static final double MOST_FALL = 0.06;

  private final double greatest;
  private double value;
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
    return value;
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
    if (nowNanos - windowNanos >= WINDOW_NANOS) {
      double windows = (double) (nowNanos - windowNanos) / WINDOW_NANOS;
      double change = GAIN * (loadNanos / (nowNanos - windowNanos) - TARGET_LOAD);
      change = Math.max(-MOST_FALL, Math.min(MOST_RISE, change)) * Math.min(windows, 5);
      value = Math.max(0, Math.min(greatest, value + change));
      loadNanos = 0;
      windowNanos = nowNanos;
    }
  }
}
