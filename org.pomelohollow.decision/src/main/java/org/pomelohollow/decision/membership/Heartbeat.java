package org.pomelohollow.decision.membership;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Member;

/**
 * Says that a member is alive and what it serves.
 *
 * @param member the sender
 * @param sequence rises with every heartbeat of this run
 * @param configVersion version in force at the sender, 0 if none
 */
public record Heartbeat(Member member, long sequence, long configVersion) implements PeerMessage {
  /** Checks the field. */
  public Heartbeat {
    Objects.requireNonNull(member, "member");
  }
}
