package org.pomelohollow.decision.claim;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;

/**
 * Carries a ring to a peer.
 *
 * @param ring the sender's ring
 * @param nextOffset first offset of the stream that the sender has not applied to the ring; -1 if
 *     it may have missed entries
 */
public record RingTransfer(RingState ring, long nextOffset) implements PeerMessage {
  /** Checks the field. */
  public RingTransfer {
    Objects.requireNonNull(ring, "ring");
  }
}
