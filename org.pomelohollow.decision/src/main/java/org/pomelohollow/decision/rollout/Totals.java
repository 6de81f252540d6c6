package org.pomelohollow.decision.rollout;

import java.util.Map;
import java.util.TreeMap;

/** Sum of the totals of several targets, by route. */
final class Totals {
  private final Map<String, Route> routes = new TreeMap<>();

  /** Adds the totals of a report and the requests that were running then. */
  void add(RolloutReport r) {
    for (RouteTotals t : r.routes()) {
      Route c = route(t.route());
      c.add(t, 1);
      c.running.add(t.running(), 1);
    }
  }

  /** Adds the totals of a former incarnation of a target, of which nothing runs any more. */
  void addEnded(RolloutReport r) {
    r.routes().forEach(t -> route(t.route()).add(t, 1));
  }

  /** Subtracts the totals of an earlier report. */
  void subtract(RolloutReport r) {
    r.routes().forEach(t -> route(t.route()).add(t, -1));
  }

  Map<String, Route> routes() {
    return routes;
  }

  /** Returns the counts of a route, which are 0 if there are none. */
  Route find(String route) {
    return routes.getOrDefault(route, new Route());
  }

  long responses() {
    return routes.values().stream().mapToLong(Route::responses).sum();
  }

  /** Returns the number of responses with a time that counts. */
  long timed() {
    return routes.values().stream().mapToLong(r -> r.times.total()).sum();
  }

  private Route route(String name) {
    return routes.computeIfAbsent(name, k -> new Route());
  }

  /** Counts of one route. */
  static final class Route {
    private static final double LONGEST = 0.99;

    private final TimeHistogram times = new TimeHistogram();
    private final TimeHistogram running = new TimeHistogram();
    private long responses;
    private long failures;

    private void add(RouteTotals t, int sign) {
      responses += sign * t.responses();
      failures += sign * t.failures();
      times.add(t.times(), sign);
    }

    long responses() {
      return responses;
    }

    /** Returns the time within which 99 in 100 responses came, in nanoseconds. */
    long longestNanos() {
      return TimeHistogram.lowerNanos(times.quantileBucket(LONGEST) + 1);
    }

    long failures() {
      return failures;
    }

    TimeHistogram times() {
      return times;
    }

    /** Returns the number of requests that took, or have already run for, a time or longer. */
    long slow(int fromBucket) {
      return times.from(fromBucket) + running.from(fromBucket);
    }

    /** Returns the number of requests of which it is known whether they are slow. */
    long judged(int fromBucket) {
      return times.total() + running.from(fromBucket);
    }
  }
}
