package org.pomelohollow.decision.quarantine;

import java.util.Objects;
import org.pomelohollow.model.MemberId;

/**
 * One run of a target that ended, or seemed to end, while it ran a request.
 *
 * @param member its daemon
 * @param run number of the run at that daemon
 */
public record Death(MemberId member, long run) {
  /** Checks the field. */
  public Death {
    Objects.requireNonNull(member, "member");
  }
}
