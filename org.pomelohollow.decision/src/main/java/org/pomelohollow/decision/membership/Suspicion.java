package org.pomelohollow.decision.membership;

import java.util.Objects;
import org.pomelohollow.model.MemberId;

/**
 * Claim that a member is dead, which the member refutes by raising the version of its entry.
 *
 * @param member identity of the member
 * @param version version of the member's entry that the claim refers to
 */
public record Suspicion(MemberId member, long version) {
  /** Checks that the member is set. */
  public Suspicion {
    Objects.requireNonNull(member, "member");
  }
}
