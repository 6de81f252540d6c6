package org.pomelohollow.decision.membership;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.model.MemberId;

/**
 * Entry of the members stream by which a member leaves the fleet at its shutdown.
 *
 * @param member incarnation that leaves
 */
public record MemberLeft(MemberId member) implements LogEntry {
  /** Checks that the identity is set. */
  public MemberLeft {
    Objects.requireNonNull(member, "member");
  }

  @Override
  public Optional<String> key() {
    return Optional.of(member.host());
  }
}
