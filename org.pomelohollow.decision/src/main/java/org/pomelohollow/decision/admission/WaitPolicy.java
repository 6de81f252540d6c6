package org.pomelohollow.decision.admission;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.document.RouteEntry;

/** Bounds the time that a request waits at its target's daemon before it is refused. */
@FunctionalInterface
public interface WaitPolicy {
  /** Waits as long as the state of the queue allows, the same for all requests. */
  WaitPolicy STANDING_QUEUE = (route, queueBoundNanos) -> queueBoundNanos;

  /**
   * Answers the load of call trees whose deepest service is full: a request of a caller is told
   * soon to come later, within an eighth of its objective, while a call of a running request, on an
   * open route, waits for as long as it can still finish, since its refusal wastes the work above.
   */
  WaitPolicy CALLS_FIRST =
      (route, queueBoundNanos) ->
          route
              .filter(r -> !r.open())
              .map(r -> TimeUnit.MILLISECONDS.toNanos(r.latencyObjectiveMillis()) / 8)
              .orElse(Long.MAX_VALUE);

  /**
   * Returns the longest wait.
   *
   * @param route route of the request, if the document in force has it
   * @param queueBoundNanos what the state of the queue allows, in nanoseconds
   * @return nanoseconds
   */
  long boundNanos(Optional<RouteEntry> route, long queueBoundNanos);
}
