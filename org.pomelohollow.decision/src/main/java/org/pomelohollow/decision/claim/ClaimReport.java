package org.pomelohollow.decision.claim;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.decision.guard.RecordedResponse;
import org.pomelohollow.message.PeerMessage;

/**
 * Tells a witness how a claim ended.
 *
 * @param key key of the claim
 * @param id identity of the claim
 * @param state how it ended
 * @param answer the answer, if it ran and the answer is kept
 */
public record ClaimReport(
    ClaimKey key, ClaimId id, ClaimState state, Optional<RecordedResponse> answer)
    implements PeerMessage {
  /** Checks the fields. */
  public ClaimReport {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(answer, "answer");
  }
}
