package org.pomelohollow.decision.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.TargetLoad;

/** What targets' daemons told of late of the pressure that requests of each route meet. */
public final class Pressures {
  /** Share of the newest report in the mean: reports of some targets in turn make it up. */
  private static final double GAIN = 0.2;

  private static final long VALID_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<String, Mean> means = new HashMap<>();

  /**
   * Takes a report.
   *
   * @param route route of the request that it came with
   * @param load the report
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void heard(String route, TargetLoad load, long nowNanos) {
    means.computeIfAbsent(route, k -> new Mean()).add(load.pressure(), nowNanos);
  }

  @Override
  public String toString() {
    return means.toString();
  }

  /**
   * Returns the pressure that a route's requests meet, 0 if nothing was told of late.
   *
   * @param route the route
   * @param nowNanos current monotonic time, in nanoseconds
   * @return pressure as in {@link TargetLoad#pressure}
   */
  public double of(String route, long nowNanos) {
    Mean m = means.get(route);
    return m == null || nowNanos - m.atNanos > VALID_NANOS ? 0 : m.value;
  }

  private static final class Mean {
    private double value;
    private long atNanos = Long.MIN_VALUE;

    void add(double pressure, long nowNanos) {
      boolean first = atNanos == Long.MIN_VALUE || nowNanos - atNanos > VALID_NANOS;
      value = first ? pressure : value + GAIN * (pressure - value);
      atNanos = nowNanos;
    }

    @Override
    public String toString() {
      return Double.toString(value);
    }
  }
}
