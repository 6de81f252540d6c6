package org.pomelohollow.decision.quota;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.MemberId;

/**
 * Reply to a {@link LoanRequest}. If the sender isn't lending the piece, all amounts are 0 and only
 * {@code holder} is of use.
 *
 * @param piece the piece
 * @param sequence sequence number of the request
 * @param carriedTokens carried tokens that the borrower may go on spending
 * @param grantedTokens new tokens
 * @param remainingTokens tokens that remain in the sender's bucket
 * @param retryAfterMillis time until the sender's bucket has a whole token, in milliseconds
 * @param lending whether the sender lends the piece at present
 * @param holder member that holds the piece according to the log as read by the sender; empty if it
 *     has read no claim
 */
public record LoanAnswer(
    QuotaPiece piece,
    long sequence,
    double carriedTokens,
    double grantedTokens,
    double remainingTokens,
    long retryAfterMillis,
    boolean lending,
    Optional<MemberId> holder)
    implements PeerMessage {
  /** Checks that the piece and the holder are not null. */
  public LoanAnswer {
    Objects.requireNonNull(piece, "piece");
    Objects.requireNonNull(holder, "holder");
  }
}
