package org.pomelohollow.decision.admission;

/**
 * Computes the pressure: the share of the requests that entry daemons should refuse before any work
 * is done for them.
 *
 * <p>A proportional-integral controller whose input is the load of the target in short windows: the
 * running and queued requests over the limit. The pressure rises above 0 while there are more
 * requests than the target can run, and falls while slots are idle. Entry daemons refuse that share
 * of the least important requests; from 1 on they refuse all of these, and the rest as a share of
 * the next more important ones, and so on.
 *
 * <p>The pressure controls load that arrives through call trees: a request that reaches the target
 * was admitted several services upstream, some hundred milliseconds earlier. The integral gain is
 * below the inverse of that delay; otherwise the pressure would oscillate between refusing all
 * requests and none.
 */
final class PressureController {
  private static final long WINDOW_NANOS = 100_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Load at which all slots are in use and nothing is queued; a short queue keeps slots in use. */
  private static final double TARGET_LOAD = 1.0;

  /** Change of the pressure per second and unit of load above the target load. */
  private static final double INTEGRAL_GAIN = 0.35;

  /** Pressure per unit of load above the target load. */
  private static final double PROPORTIONAL_GAIN = 0.4;

  /** Weight of the newest window in the error of the proportional part. */
  private static final double ERROR_SMOOTHING = 0.5;

  /** Bounds of the error of one window, in units of load. */
  private static final double MIN_ERROR = -0.6;

  private static final double MAX_ERROR = 1.0;

  /** Longest window that is integrated; a longer one contains a pause of the process. */
  private static final double MAX_WINDOW_SECONDS = 0.5;

  private final double maxPressure;
  private double integral;
  private double smoothedError;
  private double loadIntegralNanos;
  private double lastLoad;
  private long updatedNanos = Long.MIN_VALUE;
  private long windowStartNanos;

  /**
   * Creates a controller with a pressure of 0.
   *
   * @param maxPressure upper bound of the pressure: the number of priorities that can be refused
   */
  PressureController(double maxPressure) {
    this.maxPressure = maxPressure;
  }

  /** Returns the pressure, from 0 to the upper bound. */
  double value() {
    return Math.max(0, Math.min(maxPressure, integral + PROPORTIONAL_GAIN * smoothedError));
  }

  /**
   * Adds the time since the last call at the load of that call, and sets the load from now on.
   *
   * @param requests running and queued requests, the latter with their weight
   * @param limit highest number of requests in flight, 0 without a target
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void update(double requests, int limit, long nowNanos) {
    if (updatedNanos == Long.MIN_VALUE) {
      updatedNanos = nowNanos;
      windowStartNanos = nowNanos;
    }
    loadIntegralNanos += (nowNanos - updatedNanos) * lastLoad;
    updatedNanos = nowNanos;
    lastLoad = limit > 0 ? requests / limit : 0;
    long windowNanos = nowNanos - windowStartNanos;
    if (windowNanos >= WINDOW_NANOS) {
      adapt(loadIntegralNanos / windowNanos, windowNanos / NANOS_PER_SECOND);
      loadIntegralNanos = 0;
      windowStartNanos = nowNanos;
    }
  }

  private void adapt(double load, double seconds) {
    double error = Math.max(MIN_ERROR, Math.min(MAX_ERROR, load - TARGET_LOAD));
    smoothedError += ERROR_SMOOTHING * (error - smoothedError);
    double step = INTEGRAL_GAIN * Math.min(seconds, MAX_WINDOW_SECONDS) * error;
    integral = Math.max(0, Math.min(maxPressure, integral + step));
  }
}
