package org.pomelohollow.decision.admission;

import java.util.Optional;
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
      (route, queueBoundNanos) ->
          route
              .filter(r -> !r.open())
              .map(r -> TimeUnit.MILLISECONDS.toNanos(r.latencyObjectiveMillis()) / 8)
              .orElse(Long.MAX_VALUE);

  /**
   * Returns the longest time that a request may be queued.
   *
   * @param route route of the request, if the active document contains it
   * @param queueBoundNanos bound derived from the state of the queue, in nanoseconds
   * @return the bound, in nanoseconds
   */
  long boundNanos(Optional<RouteEntry> route, long queueBoundNanos);
}
