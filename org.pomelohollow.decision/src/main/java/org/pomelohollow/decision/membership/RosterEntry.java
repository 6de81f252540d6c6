package org.pomelohollow.decision.membership;

import java.util.Objects;
import org.pomelohollow.model.Member;

/**
 * A live member at one version of its entry.
 *
 * @param member the member
 * @param version version that the member itself gave the entry
 */
public record RosterEntry(Member member, long version) {
  /** Checks the field. */
  public RosterEntry {
    Objects.requireNonNull(member, "member");
  }
}
