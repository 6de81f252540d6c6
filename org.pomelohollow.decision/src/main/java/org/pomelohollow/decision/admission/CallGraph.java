package org.pomelohollow.decision.admission;

import java.util.HashMap;
import java.util.Map;
import org.pomelohollow.model.TargetLoad;

/**
 * Learns which routes lead to which calls, and so which requests press on a full service below.
 *
 * <p>A call doesn't say which request it is made for. It is credited to the routes that run at the
 * target at the time, in proportion to their running requests and to the calls per request that
 * they were credited with before: the expectation-maximization step of a mixture (Dempster, Laird
 * and Rubin, 1977). A route that makes no calls loses its credit to those that do.
 */
final class CallGraph {
  /** Credited calls per request from which on a route is taken to make them. */
  private static final double LEAST_CALLS = 0.15;

  /** Requests over which the credit is averaged. */
  private static final double MEMORY = 60;

  private static final double FIRST_CALLS = 0.5;

  private final Map<String, Route> routes = new HashMap<>();
  private final Pressures heard = new Pressures();

  void started(String route) {
    routes.computeIfAbsent(route, k -> new Route()).running++;
  }

  void ended(String route) {
    Route r = routes.get(route);
    if (r != null) {
      r.running--;
      r.calls.replaceAll((c, n) -> n - n / MEMORY);
    }
  }

  void called(String calledRoute) {
    double sum = 0;
    for (Route r : routes.values()) {
      sum += r.running * r.callsTo(calledRoute);
    }
    if (sum <= 0) {
      return;
    }
    for (Route r : routes.values()) {
      double credit = r.running * r.callsTo(calledRoute) / sum;
      if (credit > 0) {
        r.calls.put(calledRoute, r.callsTo(calledRoute) + credit / MEMORY);
      }
    }
  }

  void heard(String calledRoute, TargetLoad load, long nowNanos) {
    heard.heard(calledRoute, load, nowNanos);
  }

  /** Returns the greatest pressure that the calls of a route's requests meet. */
  double pressure(String route, long nowNanos) {
    Route r = routes.get(route);
    if (r == null) {
      return 0;
    }
    double most = 0;
    for (Map.Entry<String, Double> e : r.calls.entrySet()) {
      if (e.getValue() >= LEAST_CALLS) {
        most = Math.max(most, heard.of(e.getKey(), nowNanos));
      }
    }
    return most;
  }

  @Override
  public String toString() {
    return routes + " " + heard;
  }

  private static final class Route {
    private final Map<String, Double> calls = new HashMap<>();
    private int running;

    double callsTo(String calledRoute) {
      return calls.getOrDefault(calledRoute, FIRST_CALLS);
    }

    @Override
    public String toString() {
      return running + " running, calls " + calls;
    }
  }
}
