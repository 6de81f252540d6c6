package org.pomelohollow.decision.membership;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Member;

/**
 * Says that a member is alive and what it serves; asks for an answer, or is one.
 *
 * @param member the sender
 * @param version rises when the sender's roster entry changes, or when it refutes a suspicion
 * @param sequence rises with every heartbeat of this run
 * @param configVersion version in force at the sender, 0 if none
 * @param rosterDigest digest of the sender's roster; 0 while the sender doesn't vouch for it
 * @param freshnessAgeMillis time since the sender's last contact with the log, directly or through
 *     peers, in milliseconds
 * @param asksAnswer whether the receiver is to answer at once
 * @param answerTo highest sequence number that the sender has had from the receiver, 0 if none;
 *     proves that the message is no older than that
 */
public record Heartbeat(
    Member member,
    long version,
    long sequence,
    long configVersion,
    long rosterDigest,
    long freshnessAgeMillis,
    boolean asksAnswer,
    long answerTo)
    implements PeerMessage {
  /** Checks the field. */
  public Heartbeat {
    Objects.requireNonNull(member, "member");
  }
}
