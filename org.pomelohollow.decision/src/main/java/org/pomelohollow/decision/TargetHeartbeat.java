package org.pomelohollow.decision;

import java.util.Objects;

/**
 * A heartbeat of a target with a sequence number.
 *
 * @param announcement properties that the target reports
 * @param sequence sequence number, increases with each heartbeat of one incarnation of the target
 * @param draining whether the target is about to stop and must get no new requests
 */
public record TargetHeartbeat(TargetAnnouncement announcement, long sequence, boolean draining) {
  /** Checks the field. */
  public TargetHeartbeat {
    Objects.requireNonNull(announcement, "announcement");
  }
}
