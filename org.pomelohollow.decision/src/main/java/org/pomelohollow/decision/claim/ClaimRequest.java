package org.pomelohollow.decision.claim;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;

/**
 * Asks a witness to record a claim.
 *
 * @param epoch epoch of the key's shard at the sender
 * @param key key of the claim
 * @param fingerprint fingerprint of the request
 * @param requestId identifier that the entry daemon assigned to the request
 * @param id identity of the claim
 */
public record ClaimRequest(long epoch, ClaimKey key, long fingerprint, String requestId, ClaimId id)
    implements PeerMessage {
  /** Checks the fields. */
  public ClaimRequest {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(id, "id");
  }
}
