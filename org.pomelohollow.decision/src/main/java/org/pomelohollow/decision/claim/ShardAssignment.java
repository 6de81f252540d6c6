package org.pomelohollow.decision.claim;

import java.util.Objects;

/**
 * The witnesses of a shard in its current epoch, and those of the previous epoch, whose claims they
 * take over.
 *
 * @param current witnesses of the current epoch
 * @param previous witnesses of the previous epoch
 */
public record ShardAssignment(WitnessSet current, WitnessSet previous) {
  /** Checks the fields. */
  public ShardAssignment {
    Objects.requireNonNull(current, "now");
    Objects.requireNonNull(previous, "before");
  }
}
