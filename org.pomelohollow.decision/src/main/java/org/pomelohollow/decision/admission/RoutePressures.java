package org.pomelohollow.decision.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.TargetLoad;

/** Pressure on each route, as a moving average of the recent reports of targets' daemons. */
public final class RoutePressures {
  /** Weight of the newest report; low, because the reports come from several targets in turn. */
  private static final double SMOOTHING = 0.2;

  /** Time after the last report of a route for which its mean is used. */
  private static final long VALID_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<String, Mean> meansByRoute = new HashMap<>();

  /**
   * Adds a load report to the mean of a route.
   *
   * @param route route of the request whose response or refusal carried the report
   * @param load the report
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void recordLoad(String route, TargetLoad load, long nowNanos) {
    meansByRoute.computeIfAbsent(route, k -> new Mean()).add(load.pressure(), nowNanos);
  }

  @Override
  public String toString() {
    return meansByRoute.toString();
  }

  /**
   * Returns the pressure on a route, 0 without a recent report.
   *
   * @param route the route
   * @param nowNanos current monotonic time, in nanoseconds
   * @return pressure as in {@link TargetLoad#pressure}
   */
  public double of(String route, long nowNanos) {
    Mean m = meansByRoute.get(route);
    return m == null || nowNanos - m.updatedNanos > VALID_NANOS ? 0 : m.value;
  }

  private static final class Mean {
    private double value;
    private long updatedNanos = Long.MIN_VALUE;

    void add(double pressure, long nowNanos) {
      boolean isFirst = updatedNanos == Long.MIN_VALUE || nowNanos - updatedNanos > VALID_NANOS;
      value = isFirst ? pressure : value + SMOOTHING * (pressure - value);
      updatedNanos = nowNanos;
    }

    @Override
    public String toString() {
      return Double.toString(value);
    }
  }
}
