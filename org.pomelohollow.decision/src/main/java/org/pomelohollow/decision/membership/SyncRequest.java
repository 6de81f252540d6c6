package org.pomelohollow.decision.membership;

import java.util.List;
import org.pomelohollow.message.PeerMessage;

/**
 * Asks for the entries of every bucket of the roster whose digest differs.
 *
 * @param digests digest of each bucket at the sender
 * @param request number to be answered with
 */
public record SyncRequest(List<Long> digests, long request) implements PeerMessage {
  /** Copies the list. */
  public SyncRequest {
    digests = List.copyOf(digests);
  }
}
