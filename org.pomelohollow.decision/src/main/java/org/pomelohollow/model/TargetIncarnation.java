package org.pomelohollow.model;

import java.util.Objects;

/**
 * Identity of one incarnation of a target.
 *
 * @param instance identifier that the target gave itself; a restart may keep it
 * @param startedMillis wall-clock start time, in milliseconds since the epoch; 0 if unknown
 */
public record TargetIncarnation(String instance, long startedMillis) {
  /** Checks the fields. */
  public TargetIncarnation {
    Objects.requireNonNull(instance, "instance");
  }
}
