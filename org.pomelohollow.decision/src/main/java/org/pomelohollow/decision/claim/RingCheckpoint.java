package org.pomelohollow.decision.claim;

import java.util.Objects;
import org.pomelohollow.message.LogEntry;

/**
 * Log entry with a copy of the ring, for readers that start after the proposals have expired.
 *
 * @param ring the ring
 * @param nextOffset first offset of the stream that the writer had not applied to the ring
 */
public record RingCheckpoint(RingState ring, long nextOffset) implements LogEntry {
  /** Checks the field. */
  public RingCheckpoint {
    Objects.requireNonNull(ring, "ring");
  }
}
