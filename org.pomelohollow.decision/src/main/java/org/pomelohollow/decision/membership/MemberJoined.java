package org.pomelohollow.decision.membership;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ZoneId;

/**
 * Entry of the members stream by which a member joins the fleet or renews its membership.
 *
 * @param member identity of the member
 * @param peer address of its peer link
 * @param zone its availability zone
 */
public record MemberJoined(MemberId member, Endpoint peer, ZoneId zone) implements LogEntry {
  /** Checks that all components are set. */
  public MemberJoined {
    Objects.requireNonNull(member, "member");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(zone, "zone");
  }

  @Override
  public Optional<String> key() {
    return Optional.of(member.host());
  }
}
