package org.pomelohollow.decision.membership;

import java.util.Objects;
import org.pomelohollow.model.MemberId;

/**
 * Says that a member seems dead. The member refutes it with a higher version of its entry.
 *
 * @param member the member
 * @param version version of its entry that is in doubt
 */
public record Suspicion(MemberId member, long version) {
  /** Checks the field. */
  public Suspicion {
    Objects.requireNonNull(member, "member");
  }
}
