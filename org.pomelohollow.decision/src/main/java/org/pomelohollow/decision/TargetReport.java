package org.pomelohollow.decision;

import java.util.Objects;

/**
 * A numbered heartbeat of a target.
 *
 * @param announcement what it says of itself
 * @param sequence rises with each heartbeat of one run of the target
 * @param draining whether it is about to leave and gets no new work
 */
public record TargetReport(TargetAnnouncement announcement, long sequence, boolean draining) {
  /** Checks the field. */
  public TargetReport {
    Objects.requireNonNull(announcement, "announcement");
  }
}
