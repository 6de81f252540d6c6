package org.pomelohollow.decision.membership;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Member;

/**
 * Message by which a member shows that it is alive, describes its target and acknowledges a
 * heartbeat of the receiver. As a probe it requests a reply; the reply is a heartbeat too.
 *
 * @param member the sender
 * @param version version of the sender's roster entry; rises when the entry changes other than in
 *     the target's limit, and when the sender refutes a suspicion
 * @param sequence sequence number, which rises with every heartbeat of the sender's incarnation
 * @param configVersion version of the configuration active at the sender, 0 if none
 * @param rosterDigest digest of the sender's roster; 0 while the sender's view is unconfirmed
 * @param configAgeMillis time since the sender last knew its configuration to be the newest, from
 *     the log or from peers, in milliseconds
 * @param replyRequested whether the receiver is to reply at once
 * @param acknowledgedSequence highest sequence number that the sender has received from the
 *     receiver, 0 if none; proves that the message was sent after that heartbeat
 */
public record Heartbeat(
    Member member,
    long version,
    long sequence,
    long configVersion,
    long rosterDigest,
    long configAgeMillis,
    boolean replyRequested,
    long acknowledgedSequence)
    implements PeerMessage {
  /** Checks that the sender is set. */
  public Heartbeat {
    Objects.requireNonNull(member, "member");
  }
}
