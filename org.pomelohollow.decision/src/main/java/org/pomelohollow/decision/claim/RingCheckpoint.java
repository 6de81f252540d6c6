package org.pomelohollow.decision.claim;

import java.util.Objects;
import org.pomelohollow.message.LogEntry;

/**
 * Repeats the ring, for readers that come after the proposals have expired.
 *
 * @param ring the ring
 * @param through offset up to which the writer had read the stream
 */
public record RingCheckpoint(RingState ring, long through) implements LogEntry {
  /** Checks the field. */
  public RingCheckpoint {
    Objects.requireNonNull(ring, "ring");
  }
}
