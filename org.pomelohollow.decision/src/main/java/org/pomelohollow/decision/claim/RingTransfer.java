package org.pomelohollow.decision.claim;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;

/**
 * Brings a ring.
 *
 * @param ring the ring
 * @param through offset up to which the sender has read the stream; -1 if it is not sure of that
 */
public record RingTransfer(RingState ring, long through) implements PeerMessage {
  /** Checks the field. */
  public RingTransfer {
    Objects.requireNonNull(ring, "ring");
  }
}
