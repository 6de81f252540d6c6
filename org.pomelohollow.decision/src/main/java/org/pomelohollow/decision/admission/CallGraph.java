package org.pomelohollow.decision.admission;

import java.util.HashMap;
import java.util.Map;
import org.pomelohollow.model.TargetLoad;

/**
 * Estimates which outbound calls the requests of each route make, and from that which routes add to
 * the load of an overloaded service downstream.
 *
 * <p>A call does not state the request that made it. It is attributed to the routes that have
 * requests running at the target, in proportion to the number of those requests times the route's
 * estimate of calls per request: the expectation-maximization step of a mixture (Dempster, Laird
 * and Rubin, 1977). The estimate of a route that makes no calls thereby declines in favour of the
 * routes that do.
 */
final class CallGraph {
  /** Estimated calls per request from which on a route is assumed to make the call. */
  private static final double MIN_CALLS_PER_REQUEST = 0.15;

  /** Number of requests of a route over which its calls per request are averaged. */
  private static final double AVERAGING_REQUESTS = 60;

  /** Calls per request assumed for a route before any was attributed to it. */
  private static final double INITIAL_CALLS_PER_REQUEST = 0.5;

  private final Map<String, RouteCalls> routes = new HashMap<>();
  private final RoutePressures reportedPressures = new RoutePressures();

  void recordStart(String route) {
    routes.computeIfAbsent(route, k -> new RouteCalls()).running++;
  }

  void recordEnd(String route) {
    RouteCalls r = routes.get(route);
    if (r != null) {
      r.running--;
      r.callsPerRequest.replaceAll((c, n) -> n - n / AVERAGING_REQUESTS);
    }
  }

  void recordCall(String calledRoute) {
    double sum = 0;
    for (RouteCalls r : routes.values()) {
      sum += r.running * r.callsTo(calledRoute);
    }
    if (sum <= 0) {
      return;
    }
    for (RouteCalls r : routes.values()) {
      double credit = r.running * r.callsTo(calledRoute) / sum;
      if (credit > 0) {
        r.callsPerRequest.put(calledRoute, r.callsTo(calledRoute) + credit / AVERAGING_REQUESTS);
      }
    }
  }

  void recordLoad(String calledRoute, TargetLoad load, long nowNanos) {
    reportedPressures.recordLoad(calledRoute, load, nowNanos);
  }

  /** Returns the greatest pressure reported for the calls that requests of a route make. */
  double pressure(String route, long nowNanos) {
    RouteCalls r = routes.get(route);
    if (r == null) {
      return 0;
    }
    double greatest = 0;
    for (Map.Entry<String, Double> e : r.callsPerRequest.entrySet()) {
      if (e.getValue() >= MIN_CALLS_PER_REQUEST) {
        greatest = Math.max(greatest, reportedPressures.of(e.getKey(), nowNanos));
      }
    }
    return greatest;
  }

  @Override
  public String toString() {
    return routes + " " + reportedPressures;
  }

  private static final class RouteCalls {
    private final Map<String, Double> callsPerRequest = new HashMap<>();
    private int running;

    double callsTo(String calledRoute) {
      return callsPerRequest.getOrDefault(calledRoute, INITIAL_CALLS_PER_REQUEST);
    }

    @Override
    public String toString() {
      return running + " running, calls " + callsPerRequest;
    }
  }
}
