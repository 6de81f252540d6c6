package org.pomelohollow.decision.quota;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.MemberId;

/**
 * Names the holder of a piece.
 *
 * @param piece the piece
 * @param holder member that may lend it
 * @param witness member whose acknowledgements the holder needs; empty if the holder needs none
 * @param kind how the holder came by the piece
 * @param tokens tokens that a leaving holder passes on
 */
public record PieceClaim(
    Piece piece, MemberId holder, Optional<MemberId> witness, Kind kind, double tokens) {
  /** Checks the fields. */
  public PieceClaim {
    Objects.requireNonNull(piece, "piece");
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(witness, "witness");
    Objects.requireNonNull(kind, "kind");
  }

  /** How a holder came by a piece. */
  public enum Kind {
    /** No record of the piece has ever existed. */
    FIRST,
    /** The holder keeps the piece, or took it from one that cannot lend any more. */
    TAKEN,
    /** The previous holder stopped lending before it wrote the record. */
    HANDED_OVER
  }
}
