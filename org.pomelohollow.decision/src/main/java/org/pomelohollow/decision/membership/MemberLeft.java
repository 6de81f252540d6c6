package org.pomelohollow.decision.membership;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.model.MemberId;

/**
 * A member left for good.
 *
 * @param member its identity
 */
public record MemberLeft(MemberId member) implements LogEntry {
  /** Checks the field. */
  public MemberLeft {
    Objects.requireNonNull(member, "member");
  }

  @Override
  public Optional<String> key() {
    return Optional.of(member.host());
  }
}
