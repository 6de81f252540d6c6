package org.pomelohollow.decision.claim;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.message.PeerMessage;

/**
 * Answers a {@link ClaimRequest}.
 *
 * @param id identity of the claim that was asked for
 * @param epoch epoch that was asked for
 * @param ringVersion version of the ring at the witness
 * @param decision what the witness decided
 * @param existing the other claim on the key, if that is why it refused
 */
public record ClaimReply(
    ClaimId id, long epoch, long ringVersion, Decision decision, Optional<ClaimRecord> existing)
    implements PeerMessage {
  /** Checks the fields. */
  public ClaimReply {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(decision, "decision");
    Objects.requireNonNull(existing, "existing");
  }

  /** What a witness decided. */
  public enum Decision {
    /** The claim is recorded. */
    GRANTED,
    /** Another claim on the key is recorded. */
    TAKEN,
    /** The witness has no room. */
    FULL,
    /** The witness may not grant in this epoch, or not yet. */
    NOT_READY
  }
}
