package org.pomelohollow.decision.routing;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.TargetLoad;

/**
 * What the entry saw of one attempt.
 *
 * @param outcome how it ended
 * @param latencyNanos time from start to end, in nanoseconds
 * @param load load that the target's daemon sent along, if it answered
 */
public record AttemptResult(Outcome outcome, long latencyNanos, Optional<TargetLoad> load) {
  /** Checks the fields. */
  public AttemptResult {
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(load, "load");
  }

  /** How an attempt ended. */
  public enum Outcome {
    /** The target answered. */
    ANSWERED,
    /** The target's daemon or the target refused. */
    REFUSED,
    /** The link or the target's connection broke. */
    LOST,
    /** The caller left or the deadline passed. */
    ABANDONED
  }
}
