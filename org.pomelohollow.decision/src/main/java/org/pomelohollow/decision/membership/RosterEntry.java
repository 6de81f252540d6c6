package org.pomelohollow.decision.membership;

import java.util.Objects;
import org.pomelohollow.model.Member;

/**
 * Entry of a roster: the description of a live member at one version.
 *
 * @param member description of the member
 * @param version version of the description, which only the member itself raises
 */
public record RosterEntry(Member member, long version) {
  /** Checks that the member is set. */
  public RosterEntry {
    Objects.requireNonNull(member, "member");
  }
}
