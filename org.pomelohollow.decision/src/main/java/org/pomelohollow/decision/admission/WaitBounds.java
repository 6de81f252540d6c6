package org.pomelohollow.decision.admission;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.RouteEntry;

/**
 * Bounds on the time that requests are queued, by route.
 *
 * <p>Handles bursts at a service with scarce capacity: a request that would start early enough is
 * queued, so that a burst that ends within the objective costs no refusals; one that would not is
 * refused on arrival instead of after the wait.
 */
final class WaitBounds {
  private final WaitPolicy policy;
  private Map<String, RouteEntry> routesByName = Map.of();

  WaitBounds(WaitPolicy policy) {
    this.policy = policy;
  }

  void configure(Document d) {
    routesByName =
        d.routes().stream().collect(Collectors.toMap(RouteEntry::name, r -> r, (a, b) -> b));
  }

  /**
   * Returns the longest time that a request may be queued, in nanoseconds.
   *
   * @param route route of the request
   * @param isScarce whether waits are estimated
   * @param queueBoundNanos bound derived from the state of the queue, in nanoseconds
   */
  long boundNanos(String route, boolean isScarce, long queueBoundNanos) {
    Optional<RouteEntry> r = Optional.ofNullable(routesByName.get(route));
    OptionalLong estimated = isScarce ? policy.estimatedBoundNanos(r) : OptionalLong.empty();
    return estimated.orElseGet(() -> policy.boundNanos(r, queueBoundNanos));
  }

  /**
   * Returns whether a request at a service with scarce capacity would start within its bound.
   *
   * @param route route of the request
   * @param waitNanos estimated time until the request starts, in nanoseconds
   */
  boolean startsInTime(String route, double waitNanos) {
    OptionalLong bound = policy.estimatedBoundNanos(Optional.ofNullable(routesByName.get(route)));
    return bound.isEmpty() || waitNanos <= bound.getAsLong();
  }
}
