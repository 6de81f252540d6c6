package org.pomelohollow.decision.quarantine;

import java.util.Objects;
import org.pomelohollow.model.MemberId;

/**
 * Crash, real or presumed, of one incarnation of a target while it ran a request.
 *
 * @param member the target's daemon
 * @param targetIncarnation number of the target's incarnation, counted by that daemon
 */
public record TargetCrash(MemberId member, long targetIncarnation) {
  /** Checks that the member is not null. */
  public TargetCrash {
    Objects.requireNonNull(member, "member");
  }
}
