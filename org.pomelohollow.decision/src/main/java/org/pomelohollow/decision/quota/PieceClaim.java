package org.pomelohollow.decision.quota;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.MemberId;

/**
 * A claim in the quota stream that assigns a piece to a holder.
 *
 * @param piece the piece
 * @param holder member that may lend tokens of the piece
 * @param witness member that must acknowledge the holder's lease renewals; empty if none is needed
 * @param kind how the holder obtained the piece
 * @param tokens tokens that a leaving holder passes on to the new one; 0 for other claims
 */
public record PieceClaim(
    QuotaPiece piece, MemberId holder, Optional<MemberId> witness, Kind kind, double tokens) {
  /** Checks that no field is null. */
  public PieceClaim {
    Objects.requireNonNull(piece, "piece");
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(witness, "witness");
    Objects.requireNonNull(kind, "kind");
  }

  /** How a holder obtained a piece; decides with how many tokens and when it may lend. */
  public enum Kind {
    /** The first claim of the piece: no earlier one was ever written to the stream. */
    FIRST,
    /** The holder keeps the piece, or takes it over from one that can no longer lend it. */
    TAKEN,
    /** The previous holder wrote the claim, after it had stopped lending the piece. */
    HANDED_OVER
  }
}
