package org.pomelohollow.decision.claim;

import java.util.Objects;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ZoneId;

/**
 * A member of the ring, which acts as a witness of claims.
 *
 * @param id identity of the member
 * @param zone availability zone of the member
 */
public record RingMember(MemberId id, ZoneId zone) {
  /** Checks the fields. */
  public RingMember {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(zone, "zone");
  }
}
