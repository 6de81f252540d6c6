package org.pomelohollow.decision.quota;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;

/**
 * Message of a borrower that asks the holder of a piece for a new loan and settles the previous
 * one. Token amounts are finite and not negative.
 *
 * @param piece the piece
 * @param sequence sequence number, increasing with every request of the borrower
 * @param urgentTokens tokens needed by requests that already wait
 * @param wantedTokens new tokens in all, the urgent ones included
 * @param carriedTokens unspent tokens of the previous loan that the borrower wants to carry over
 * @param returnedTokens unspent tokens of the previous loan that the borrower gives back
 * @param termNanos time after sending during which the borrower may spend the new loan, in
 *     nanoseconds
 */
public record LoanRequest(
    QuotaPiece piece,
    long sequence,
    double urgentTokens,
    double wantedTokens,
    double carriedTokens,
    double returnedTokens,
    long termNanos)
    implements PeerMessage {
  /** Checks the ranges of the fields. */
  public LoanRequest {
    Objects.requireNonNull(piece, "piece");
    requireAmount(urgentTokens);
    requireAmount(wantedTokens);
    requireAmount(carriedTokens);
    requireAmount(returnedTokens);
    if (termNanos < 0) {
      throw new IllegalArgumentException(
          "loan term is negative: " + termNanos + " ns for piece " + piece);
    }
  }

  private static void requireAmount(double tokens) {
    if (!(tokens >= 0 && Double.isFinite(tokens))) {
      throw new IllegalArgumentException("token amount is not a finite number >= 0: " + tokens);
    }
  }
}
