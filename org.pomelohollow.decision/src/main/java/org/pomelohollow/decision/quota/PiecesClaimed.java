package org.pomelohollow.decision.quota;

import java.util.List;
import java.util.Objects;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.model.MemberId;

/**
 * Entry of the quota stream that claims pieces. Each claim works as a compare-and-set: it is
 * accepted unless another accepted claim of the same piece lies between {@code baseOffset} and this
 * entry.
 *
 * @param writer member that wrote the entry
 * @param sequence number of the entry among those of the writer, from 1
 * @param baseOffset last offset of the stream that the writer had read, -1 if none
 * @param claims the claims, each accepted or rejected on its own
 */
public record PiecesClaimed(
    MemberId writer, long sequence, long baseOffset, List<PieceClaim> claims) implements LogEntry {
  /** Checks the writer and copies the list. */
  public PiecesClaimed {
    Objects.requireNonNull(writer, "writer");
    claims = List.copyOf(claims);
  }
}
