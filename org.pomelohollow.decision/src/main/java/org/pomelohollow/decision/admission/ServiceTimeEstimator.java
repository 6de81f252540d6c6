package org.pomelohollow.decision.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.Verdict;

/**
 * Estimates the service time of each route: how long its requests hold a slot at the usual speed of
 * the target's host. Where the target reports its slowdown, requests that it cannot finish by their
 * deadlines at its present speed are refused, so that another target may run them.
 */
final class ServiceTimeEstimator {
  /** Weight of the newest request in the mean. */
  private static final double SMOOTHING = 0.05;

  /** Share of the mean service time that must remain until the deadline. */
  private static final double MIN_REMAINING_SHARE = 0.5;

  /** Factor by which the estimate is lowered each time a request is considered too late. */
  private static final double REFUSAL_DECAY = 0.99;

  /** A host that is slow now is at its usual speed again after about as long as its phases last. */
  private static final long SLOW_HOST_RETRY_MILLIS = 600;

  private final Map<String, Double> meanNanosByRoute = new HashMap<>();
  private double allRoutesMeanNanos;

  /**
   * Adds the time for which a request held a slot.
   *
   * @param route route of the request
   * @param heldNanos the time, in nanoseconds
   * @param slowdown slowdown of the target's host at its end, 0 if unknown
   */
  void addSample(String route, long heldNanos, double slowdown) {
    double usualNanos = slowdown > 0 ? heldNanos / slowdown : heldNanos;
    allRoutesMeanNanos =
        allRoutesMeanNanos == 0
            ? usualNanos
            : allRoutesMeanNanos + SMOOTHING * (usualNanos - allRoutesMeanNanos);
    meanNanosByRoute.merge(route, usualNanos, (old, newest) -> old + SMOOTHING * (newest - old));
  }

  /**
   * Returns why a request cannot finish by its deadline, empty if it can.
   *
   * @param context the request
   * @param slowdown slowdown of the target's host now, 0 if unknown
   * @param nowNanos current monotonic time, in nanoseconds
   * @return refusal of the request, as not run; one that other targets need not share if it is only
   *     the slowdown that makes the request late
   */
  Optional<Verdict.NotRun> refusal(RequestContext context, double slowdown, long nowNanos) {
    if (!canFinish(context, slowdown, nowNanos)) {
      return Optional.of(new Verdict.NotRun(ErrorCode.DEADLINE_EXCEEDED));
    }
    double meanNanos = meanNanosByRoute.getOrDefault(context.route(), 0.0);
    // Doesn't lower the estimate, which isn't at fault; the slowdown decays without new reports.
    return context.remainingNanos(nowNanos) < MIN_REMAINING_SHARE * meanNanos * slowdown
        ? Optional.of(new Verdict.NotRun(ErrorCode.OVERLOADED, SLOW_HOST_RETRY_MILLIS))
        : Optional.empty();
  }

  /**
   * Returns the mean service time of all routes, 0 before a request has ended.
   *
   * @param slowdown slowdown of the target's host now, 0 if unknown
   */
  double meanNanos(double slowdown) {
    return slowdown > 0 ? allRoutesMeanNanos * slowdown : allRoutesMeanNanos;
  }

  /**
   * Returns whether a request can still finish by its deadline, at the usual speed or at the
   * present one if that is known to be higher. Each time the result is negative, the estimate is
   * lowered slightly, so that requests are admitted again if it was too high.
   */
  private boolean canFinish(RequestContext context, double slowdown, long nowNanos) {
    long remainingNanos = context.remainingNanos(nowNanos);
    if (remainingNanos <= 0) {
      return false;
    }
    double meanNanos = meanNanosByRoute.getOrDefault(context.route(), 0.0);
    double factor = slowdown > 0 ? Math.min(1, slowdown) : 1;
    if (remainingNanos >= MIN_REMAINING_SHARE * meanNanos * factor) {
      return true;
    }
    meanNanosByRoute.put(context.route(), meanNanos * REFUSAL_DECAY);
    return false;
  }
}
