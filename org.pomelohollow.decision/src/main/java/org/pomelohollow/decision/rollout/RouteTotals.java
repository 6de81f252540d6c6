package org.pomelohollow.decision.rollout;

import java.util.List;
import java.util.Objects;

/**
 * Totals of the requests of one route at one target since an order.
 *
 * @param route name of the route
 * @param responses number of requests that have ended, with or without a response in time
 * @param failures number of responses among them that are failures
 * @param times histogram of the times at the target of the others, in {@link TimeHistogram}'s
 *     buckets; without times of a target in cold start
 * @param running histogram of the times that running requests have taken so far
 */
public record RouteTotals(
    String route, long responses, long failures, List<Long> times, List<Long> running) {
  /** Copies the lists. */
  public RouteTotals {
    Objects.requireNonNull(route, "route");
    times = List.copyOf(times);
    running = List.copyOf(running);
  }
}
