package org.pomelohollow.decision.claim;

import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.decision.guard.RecordedResponse;

/**
 * A claim as recorded by a witness.
 *
 * @param key key of the claim
 * @param fingerprint fingerprint of the request
 * @param requestId identifier that the entry daemon assigned to the request
 * @param id identity of the claim
 * @param ageNanos time since the claim was first recorded, in nanoseconds
 * @param state state of the claimed request
 * @param response the target's recorded response, if the witness stores it
 */
public record ClaimRecord(
    ClaimKey key,
    long fingerprint,
    String requestId,
    ClaimId id,
    long ageNanos,
    ClaimState state,
    Optional<RecordedResponse> response) {
  /** Orders claims on one key by how conclusive they are about the request's outcome. */
  static final Comparator<ClaimRecord> BY_CONCLUSIVENESS =
      Comparator.<ClaimRecord, Boolean>comparing(c -> c.response().isPresent())
          .thenComparing(ClaimRecord::state);

  /** Checks the fields. */
  public ClaimRecord {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(response, "response");
  }
}
