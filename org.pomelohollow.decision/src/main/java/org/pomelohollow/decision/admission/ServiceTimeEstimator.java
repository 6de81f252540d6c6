package org.pomelohollow.decision.admission;

import java.util.HashMap;
import java.util.Map;
import org.pomelohollow.model.RequestContext;

/** Estimates the service time of each route: how long its requests hold a slot. */
final class ServiceTimeEstimator {
  /** Weight of the newest request in the mean. */
  private static final double SMOOTHING = 0.05;

  /** Share of the mean service time that must remain until the deadline. */
  private static final double MIN_REMAINING_SHARE = 0.5;

  /** Factor by which the estimate is lowered each time a request is considered too late. */
  private static final double REFUSAL_DECAY = 0.99;

  private final Map<String, Double> meanNanosByRoute = new HashMap<>();
  private double meanNanos;

  void addSample(String route, long heldNanos) {
    meanNanos = meanNanos == 0 ? heldNanos : meanNanos + SMOOTHING * (heldNanos - meanNanos);
    meanNanosByRoute.merge(
        route, (double) heldNanos, (old, newest) -> old + SMOOTHING * (newest - old));
  }

  /** Returns the mean service time of all routes, 0 before a request has ended. */
  double meanNanos() {
    return meanNanos;
  }

  /**
   * Returns whether a request can still finish by its deadline. Each time the result is negative,
   * the estimate is lowered slightly, so that requests are admitted again if it was too high.
   */
  boolean canFinish(RequestContext context, long nowNanos) {
    long remainingNanos = context.remainingNanos(nowNanos);
    if (remainingNanos <= 0) {
      return false;
    }
    double meanNanos = meanNanosByRoute.getOrDefault(context.route(), 0.0);
    if (remainingNanos >= MIN_REMAINING_SHARE * meanNanos) {
      return true;
    }
    meanNanosByRoute.put(context.route(), meanNanos * REFUSAL_DECAY);
    return false;
  }
}
