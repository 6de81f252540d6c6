package org.pomelohollow.decision.claim;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.message.PeerMessage;

/**
 * Reply of a witness to a {@link ClaimRequest}.
 *
 * @param id identity of the requested claim
 * @param epoch epoch of the request
 * @param ringVersion version of the ring at the witness
 * @param decision decision of the witness
 * @param existing the other claim on the key if the decision is {@link Decision#TAKEN}
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

  /** Decision of a witness. */
  public enum Decision {
    /** The claim is recorded. */
    GRANTED,
    /** Another claim on the key is recorded. */
    TAKEN,
    /** The witness already stores {@link ClaimSettings#maxClaims} claims. */
    FULL,
    /**
     * The witness may not grant in the epoch of the request, or not yet, or this claim is already
     * settled.
     */
    NOT_READY
  }
}
