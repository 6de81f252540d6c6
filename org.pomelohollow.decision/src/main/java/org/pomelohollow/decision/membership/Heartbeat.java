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
 * @param probe number to be answered with, 0 if no answer is asked for
 * @param answerTo the {@code probe} that this answers, 0 if none
 */
public record Heartbeat(
    Member member,
    long version,
    long sequence,
    long configVersion,
    long rosterDigest,
    long freshnessAgeMillis,
    long probe,
    long answerTo)
    implements PeerMessage {
  /** Checks the field. */
  public Heartbeat {
    Objects.requireNonNull(member, "member");
  }
}
