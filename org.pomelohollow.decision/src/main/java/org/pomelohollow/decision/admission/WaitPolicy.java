package org.pomelohollow.decision.admission;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.document.RouteEntry;

/** Bound on the time that a request is queued at its target's daemon before it is refused. */
@FunctionalInterface
public interface WaitPolicy {
  /** Applies the bound of the queue's state to all requests alike. */
  WaitPolicy STANDING_QUEUE = (route, queueBoundNanos) -> queueBoundNanos;

  /**
   * Bounds requests of external callers to an eighth of their latency objective, and leaves calls
   * of running requests, which come on open routes, without a bound but their deadline. Meant for
   * call trees whose deepest service is overloaded: a caller learns soon that it should retry
   * later, while refusing a call would waste the work that its call tree has already done.
   */
  WaitPolicy OBJECTIVE_BASED =
      new WaitPolicy() {
        @Override
        public long boundNanos(Optional<RouteEntry> route, long queueBoundNanos) {
          return objectiveNanos(route).map(o -> o / 8).orElse(Long.MAX_VALUE);
        }

        @Override
        public OptionalLong estimatedBoundNanos(Optional<RouteEntry> route) {
          return objectiveNanos(route)
              .map(o -> OptionalLong.of(o / 3))
              .orElseGet(OptionalLong::empty);
        }

        private Optional<Long> objectiveNanos(Optional<RouteEntry> route) {
          return route
              .filter(r -> !r.open())
              .map(r -> TimeUnit.MILLISECONDS.toNanos(r.latencyObjectiveMillis()));
        }
      };

  /**
   * Returns the longest time that a request may be queued.
   *
   * @param route route of the request, if the active document contains it
   * @param queueBoundNanos bound derived from the state of the queue, in nanoseconds
   * @return the bound, in nanoseconds
   */
  long boundNanos(Optional<RouteEntry> route, long queueBoundNanos);

  /**
   * Returns the longest time that a request may be queued where the wait is estimated on its
   * arrival, and it is refused at once if the estimate is longer.
   *
   * @param route route of the request, if the active document contains it
   * @return the bound, in nanoseconds; empty if the wait of such a request is not estimated
   */
  default OptionalLong estimatedBoundNanos(Optional<RouteEntry> route) {
    return OptionalLong.empty();
  }
}
