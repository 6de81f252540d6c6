package org.pomelohollow.decision.quota;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;

/**
 * Asks the holder of a piece for tokens and settles the loan before.
 *
 * @param piece the piece
 * @param sequence rises with every request of the borrower
 * @param urgent tokens for requests that wait
 * @param wanted tokens in all
 * @param carried unspent tokens that the borrower goes on holding
 * @param returned unspent tokens that the borrower has given up
 * @param termNanos time from the sending during which the borrower may spend what it then holds
 */
public record LoanRequest(
    Piece piece,
    long sequence,
    double urgent,
    double wanted,
    double carried,
    double returned,
    long termNanos)
    implements PeerMessage {
  /** Checks the fields. */
  public LoanRequest {
    Objects.requireNonNull(piece, "piece");
    requireAmount(urgent);
    requireAmount(wanted);
    requireAmount(carried);
    requireAmount(returned);
    if (termNanos < 0) {
      throw new IllegalArgumentException("term " + termNanos);
    }
  }

  private static void requireAmount(double tokens) {
    if (!(tokens >= 0 && Double.isFinite(tokens))) {
      throw new IllegalArgumentException("tokens " + tokens);
    }
  }
}
