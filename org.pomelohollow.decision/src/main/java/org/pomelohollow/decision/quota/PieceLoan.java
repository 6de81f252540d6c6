package org.pomelohollow.decision.quota;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.MemberId;

/**
 * Loan of one piece as its borrower sees it, with the state of the request for the next loan and
 * what the lender's last reply said.
 */
final class PieceLoan {
  /**
   * Time without requests after one that got no reply; half of it after a reply that the piece
   * isn't lent.
   */
  private static final long NO_REPLY_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Longest time without requests after the lender had too few tokens. */
  private static final long MAX_EXHAUSTED_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time for which a holder named in a reply is preferred to the one read from the log. */
  private static final long HOLDER_HINT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final QuotaPiece piece;
  private double tokens;
  private double lentTokens;
  private double wantedTokens;
  private long expiryNanos = Long.MIN_VALUE;
  private long sequence;
  private long sentNanos;
  private long sentTermNanos;
  private boolean pending;
  private boolean lenderUnavailable;
  private long blockedUntilNanos = Long.MIN_VALUE;
  private long retryAfterMillis;
  private double lenderTokens = Double.MAX_VALUE;
  private Optional<MemberId> hintedHolder = Optional.empty();
  private long hintExpiryNanos = Long.MIN_VALUE;

  /** Creates a loan of no tokens. */
  PieceLoan(QuotaPiece piece) {
    this.piece = piece;
  }

  QuotaPiece piece() {
    return piece;
  }

  /** Returns the borrowed tokens that may be spent now; 0 once the loan has expired. */
  double usableTokens(long nowNanos) {
    if (nowNanos >= expiryNanos) {
      tokens = 0;
    }
    return tokens;
  }

  /** Spends up to the given number of tokens and returns how many it spent. */
  double spend(double wanted, long nowNanos) {
    double n = Math.min(wanted, usableTokens(nowNanos));
    tokens -= n;
    return n;
  }

  /** Returns the spent tokens that the lender still counts as lent. */
  double unreportedTokens(long nowNanos) {
    return nowNanos < expiryNanos ? lentTokens - usableTokens(nowNanos) : 0;
  }

  /** Returns when the last request was sent, as monotonic time in nanoseconds. */
  long sentNanos() {
    return sentNanos;
  }

  /** Returns when the loan expires, as monotonic time in nanoseconds. */
  long expiryNanos() {
    return expiryNanos;
  }

  /** Returns whether a request waits for its reply. */
  boolean isPending() {
    return pending;
  }

  /** Returns whether the last request got no reply, or the reply that its receiver doesn't lend. */
  boolean isLenderUnavailable() {
    return lenderUnavailable;
  }

  /** Returns whether a request may be sent now. */
  boolean canRequest(long nowNanos) {
    return !pending && nowNanos >= blockedUntilNanos;
  }

  /**
   * Returns the tokens that the lender had left at its last reply; the greatest double before the
   * first reply, and 0 after a request without one.
   */
  double lenderTokens() {
    return lenderTokens;
  }

  /** Returns the time until the lender expects to have a token, in milliseconds, at least 1. */
  long retryAfterMillis(long nowNanos) {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos);
    return Math.max(1, retryAfterMillis - elapsedMillis);
  }

  /** Returns the holder named in a recent reply of a member that didn't lend the piece. */
  Optional<MemberId> hintedHolder(long nowNanos) {
    return nowNanos < hintExpiryNanos ? hintedHolder : Optional.empty();
  }

  /**
   * Creates the request for the next loan. Tokens above those carried over can't be spent any more,
   * since the request returns them. No reply is expected to a request that only returns tokens.
   *
   * @param newSequence sequence number of the request
   * @param a tokens to ask for and to carry over
   * @param termNanos term of the loan from now on, in nanoseconds
   */
  LoanRequest newRequest(long newSequence, Amounts a, long termNanos, long nowNanos) {
    double usable = usableTokens(nowNanos);
    double carried = Math.min(usable, a.maxCarriedTokens);
    tokens = carried;
    lentTokens = carried;
    wantedTokens = a.wantedTokens;
    sequence = newSequence;
    sentNanos = nowNanos;
    sentTermNanos = termNanos;
    pending = a.wantedTokens + carried > 0;
    return new LoanRequest(
        piece, newSequence, a.urgentTokens, a.wantedTokens, carried, usable - carried, termNanos);
  }

  /**
   * Handles a reply. Replies to older requests and duplicates are ignored; tokens granted by an
   * ignored reply are lost.
   *
   * @return whether the reply was to the last request and has been applied
   */
  boolean handleReply(LoanAnswer a, long nowNanos) {
    if (a.sequence() != sequence || !(pending || lenderUnavailable)) {
      return false;
    }
    pending = false;
    lenderUnavailable = !a.lending();
    lenderTokens = a.remainingTokens();
    if (!a.lending()) {
      hintedHolder = a.holder();
      hintExpiryNanos = nowNanos + HOLDER_HINT_NANOS;
      blockedUntilNanos = nowNanos + NO_REPLY_BACKOFF_NANOS / 2;
      return true;
    }
    tokens = Math.min(usableTokens(nowNanos), a.carriedTokens()) + a.grantedTokens();
    lentTokens = a.carriedTokens() + a.grantedTokens();
    expiryNanos = sentNanos + sentTermNanos;
    sequence = -1;
    retryAfterMillis = a.retryAfterMillis();
    boolean satisfied = a.grantedTokens() >= Math.min(1, wantedTokens);
    long retryNanos = TimeUnit.MILLISECONDS.toNanos(retryAfterMillis);
    blockedUntilNanos =
        satisfied ? nowNanos : nowNanos + Math.min(retryNanos, MAX_EXHAUSTED_BACKOFF_NANOS);
    return true;
  }

  /** Gives up the pending request, if any; its reply still counts if it comes later. */
  void giveUpRequest(long nowNanos) {
    if (pending) {
      pending = false;
      lenderUnavailable = true;
      lenderTokens = 0;
      blockedUntilNanos = nowNanos + NO_REPLY_BACKOFF_NANOS;
    }
  }

  /** Returns whether a request has waited for its reply for the given time or longer. */
  boolean isOverdue(long nowNanos, long timeoutNanos) {
    return pending && nowNanos - sentNanos >= timeoutNanos;
  }

  /**
   * Token amounts of a loan request.
   *
   * @param urgentTokens new tokens for requests that already wait
   * @param wantedTokens new tokens in all, the urgent ones included
   * @param maxCarriedTokens most unspent tokens to carry over from the previous loan
   */
  record Amounts(double urgentTokens, double wantedTokens, double maxCarriedTokens) {}
}
