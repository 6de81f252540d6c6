package org.pomelohollow.model;

import java.util.Objects;
import java.util.Optional;

/**
 * A daemon as its peers know it.
 *
 * @param id identity of this run
 * @param peer address of its peer link
 * @param zone availability zone
 * @param target its target, if one is announced
 * @param leaving whether the daemon is stopping and gets no new work
 */
public record Member(
    MemberId id, Endpoint peer, ZoneId zone, Optional<TargetState> target, boolean leaving) {
  /** Checks the fields. */
  public Member {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(target, "target");
  }

  /**
   * Tells whether this member accepts new work of a service.
   *
   * @param service a service, not null
   * @return true if its target runs the service and neither is leaving
   */
  public boolean serves(ServiceId service) {
    return !leaving && target.filter(t -> t.service().equals(service) && !t.draining()).isPresent();
  }
}
