package org.pomelohollow.decision.quarantine;

import java.util.Objects;
import org.pomelohollow.model.MemberId;

/**
 * One run of a target that ended, or seemed to end, while it ran a request.
 *
 * @param member its daemon
 * @param targetIncarnation number of the run at that daemon
 */
public record TargetCrash(MemberId member, long targetIncarnation) {
  /** Checks the field. */
  public TargetCrash {
    Objects.requireNonNull(member, "member");
  }
}
