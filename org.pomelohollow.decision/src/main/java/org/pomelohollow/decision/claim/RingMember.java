package org.pomelohollow.decision.claim;

import java.util.Objects;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ZoneId;

/**
 * A member that witnesses claims.
 *
 * @param id the member
 * @param zone its availability zone
 */
public record RingMember(MemberId id, ZoneId zone) {
  /** Checks the fields. */
  public RingMember {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(zone, "zone");
  }
}
