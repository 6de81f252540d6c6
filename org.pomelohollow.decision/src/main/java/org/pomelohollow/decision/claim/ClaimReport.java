package org.pomelohollow.decision.claim;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.decision.guard.RecordedResponse;
import org.pomelohollow.message.PeerMessage;

/**
 * Reports to a witness how a claimed request ended.
 *
 * @param key key of the claim
 * @param id identity of the claim
 * @param state final state of the request
 * @param response the target's response, if the request ran and its response is to be recorded
 */
public record ClaimReport(
    ClaimKey key, ClaimId id, ClaimState state, Optional<RecordedResponse> response)
    implements PeerMessage {
  /** Checks the fields. */
  public ClaimReport {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(response, "response");
  }
}
