package org.pomelohollow.decision.routing;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.TargetLoad;

/**
 * Result of one attempt, as the entry daemon observed it.
 *
 * @param outcome how the attempt ended
 * @param latencyNanos time from the start to the end of the attempt, in nanoseconds
 * @param load load report in the response or refusal of the target's daemon, if there was one
 */
public record AttemptResult(Outcome outcome, long latencyNanos, Optional<TargetLoad> load) {
  /** Checks the fields. */
  public AttemptResult {
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(load, "load");
  }

  /** How an attempt ended. */
  public enum Outcome {
    /** The target sent a response. */
    RESPONDED,
    /** The target's daemon or the target refused the request. */
    REFUSED,
    /** The link to the target's daemon, or the connection to the target, broke. */
    LOST,
    /** The caller disconnected or the deadline passed. */
    ABANDONED
  }
}
