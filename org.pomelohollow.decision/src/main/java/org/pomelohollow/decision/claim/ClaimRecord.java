package org.pomelohollow.decision.claim;

import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.decision.guard.RecordedResponse;

/**
 * A claim as a witness tells it.
 *
 * @param key its key
 * @param fingerprint fingerprint of the request
 * @param requestId identifier that the entry gave the call
 * @param id its identity
 * @param ageNanos time since it was recorded, in nanoseconds
 * @param state what is known
 * @param answer the recorded answer, if it is held
 */
public record ClaimRecord(
    ClaimKey key,
    long fingerprint,
    String requestId,
    ClaimId id,
    long ageNanos,
    ClaimState state,
    Optional<RecordedResponse> answer) {
  /** Orders claims on one key by how much they tell of the request's outcome. */
  static final Comparator<ClaimRecord> BY_KNOWLEDGE =
      Comparator.<ClaimRecord, Boolean>comparing(c -> c.answer().isPresent())
          .thenComparing(ClaimRecord::state);

  /** Checks the fields. */
  public ClaimRecord {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(answer, "answer");
  }
}
