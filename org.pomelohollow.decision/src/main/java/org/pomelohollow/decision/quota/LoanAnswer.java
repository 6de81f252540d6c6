package org.pomelohollow.decision.quota;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.MemberId;

/**
 * Answers a {@link LoanRequest}.
 *
 * @param piece the piece
 * @param sequence number of the request
 * @param kept carried tokens that the borrower may go on holding
 * @param granted further tokens
 * @param left tokens left at the holder
 * @param retryAfterMillis time until the holder has a whole token, in milliseconds
 * @param lends whether the sender lends the piece at present
 * @param holder member that holds the piece as far as the sender knows
 */
public record LoanAnswer(
    Piece piece,
    long sequence,
    double kept,
    double granted,
    double left,
    long retryAfterMillis,
    boolean lends,
    Optional<MemberId> holder)
    implements PeerMessage {
  /** Checks the fields. */
  public LoanAnswer {
    Objects.requireNonNull(piece, "piece");
    Objects.requireNonNull(holder, "holder");
  }
}
