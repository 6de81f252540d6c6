package org.pomelohollow.model;

import java.util.Objects;
import java.util.Optional;

/**
 * A daemon and its target, as gossiped between daemons.
 *
 * @param id identity of this incarnation of the daemon
 * @param peer address that it accepts peer links at
 * @param zone availability zone of its host
 * @param target state of its target, empty if no target is announced
 * @param leaving whether the daemon is shutting down and receives no new requests
 */
public record Member(
    MemberId id, Endpoint peer, ZoneId zone, Optional<TargetState> target, boolean leaving) {
  /** Creates a member; no component may be null. */
  public Member {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(target, "target");
  }

  /**
   * Returns whether this member accepts new requests for a service.
   *
   * @param service the service, not null
   * @return true if its target runs the service, the daemon is not leaving and the target is not
   *     draining
   */
  public boolean serves(ServiceId service) {
    return !leaving && target.filter(t -> t.service().equals(service) && !t.draining()).isPresent();
  }
}
