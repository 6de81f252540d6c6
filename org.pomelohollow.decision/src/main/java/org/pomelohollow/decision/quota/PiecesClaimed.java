package org.pomelohollow.decision.quota;

import java.util.List;
import java.util.Objects;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.model.MemberId;

/**
 * Claims pieces. A claim is accepted unless another accepted claim of the same piece lies between
 * the base and this entry.
 *
 * @param by member that wrote the entry
 * @param sequence number of the entry among those of the member
 * @param base last offset that the member had read, -1 if none
 * @param claims the claims
 */
public record PiecesClaimed(MemberId by, long sequence, long base, List<PieceClaim> claims)
    implements LogEntry {
  /** Copies the list. */
  public PiecesClaimed {
    Objects.requireNonNull(by, "by");
    claims = List.copyOf(claims);
  }
}
