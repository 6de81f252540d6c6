package org.pomelohollow.model;

import java.util.Objects;
import java.util.Optional;

/**
 * What a target said of itself in its responses. Entry daemons keep the last notice of each target
 * and send it along with their attempts, so that the target's daemon knows it after a restart too.
 *
 * @param target incarnation that the notice is about
 * @param requestsPerSecond highest rate of requests from all daemons together that the target
 *     accepts; empty without such a limit
 * @param leaving whether the target is about to end; it never takes this back
 */
public record TargetNotice(
    TargetIncarnation target, Optional<Double> requestsPerSecond, boolean leaving) {
  /** Checks the fields. */
  public TargetNotice {
    Objects.requireNonNull(target, "target");
    if (requestsPerSecond.filter(r -> !(r >= 0) || r.isInfinite()).isPresent()) {
      throw new IllegalArgumentException("request rate " + requestsPerSecond.get());
    }
  }

  /** Returns whether the target said nothing that its daemon has to obey. */
  public boolean isEmpty() {
    return requestsPerSecond.isEmpty() && !leaving;
  }
}
