package org.pomelohollow.decision.admission;

import java.util.HashMap;
import java.util.Map;
import org.pomelohollow.model.RequestContext;

/** Estimates how long requests of each route hold a slot. */
final class RouteTimes {
  private static final double GAIN = 0.05;
  private static final double LEAST_SHARE = 0.5;
  private static final double RELAXATION = 0.99;

  private final Map<String, Double> meanNanos = new HashMap<>();

  void add(String route, long heldNanos) {
    meanNanos.merge(route, (double) heldNanos, (old, held) -> old + GAIN * (held - old));
  }

  /**
   * Tells whether a request can still finish by its deadline. Each denial lowers the estimate a
   * little, so that an estimate that has become too high is tried again.
   */
  boolean canFinish(RequestContext c, long nowNanos) {
    long remaining = c.remainingNanos(nowNanos);
    if (remaining <= 0) {
      return false;
    }
    double mean = meanNanos.getOrDefault(c.route(), 0.0);
    if (remaining >= LEAST_SHARE * mean) {
      return true;
    }
    meanNanos.put(c.route(), mean * RELAXATION);
    return false;
  }
}
