package org.pomelohollow.decision.membership;

import java.util.List;
import org.pomelohollow.message.PeerMessage;

/**
 * Message that requests the entries of every roster bucket whose digest differs at the receiver.
 *
 * @param bucketDigests digest of each bucket of the sender's roster
 * @param requestId number of the request, which the reply repeats
 */
public record SyncRequest(List<Long> bucketDigests, long requestId) implements PeerMessage {
  /** Copies the list. */
  public SyncRequest {
    bucketDigests = List.copyOf(bucketDigests);
  }
}
