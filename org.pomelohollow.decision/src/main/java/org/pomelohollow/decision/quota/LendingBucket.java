package org.pomelohollow.decision.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.model.MemberId;

/**
 * Token bucket of one piece, with the loans made from it.
 *
 * <p>The level plus the loans that borrowers may still spend never exceeds the capacity. Therefore
 * at most capacity + rate * t tokens are spent in any window of length t.
 */
final class LendingBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;

  /** Fills the bucket as if this host's clock were the fastest allowed, so never above the rate. */
  private static final double CLOCK_DRIFT_FACTOR = 1 - QuotaSettings.MAX_CLOCK_DRIFT;

  private final Map<MemberId, Loan> loans = new HashMap<>();
  private double ratePerSecond;
  private double capacity;
  private double level;
  private double lentTokens;
  private long updatedNanos;

  /**
   * Creates a bucket of rate and capacity 0; {@link #resize} sets them.
   *
   * @param tokens initial level; kept up to the capacity if the first resize comes no later than
   *     {@code fromNanos}
   * @param fromNanos time from which the bucket fills; may be in the future
   */
  LendingBucket(double tokens, long fromNanos) {
    level = tokens;
    updatedNanos = fromNanos;
  }

  /**
   * Sets the rate and capacity. The level rises to a greater capacity at the rate only; a smaller
   * capacity cuts it at once.
   *
   * @param newRate tokens per second
   * @param newCapacity tokens
   */
  void resize(double newRate, double newCapacity, long nowNanos) {
    advance(nowNanos);
    ratePerSecond = newRate;
    capacity = newCapacity;
    clampLevel();
  }

  /** Returns the tokens in the bucket, without those on loan. */
  double level(long nowNanos) {
    advance(nowNanos);
    return level;
  }

  /** Removes up to the given number of tokens, to be spent now, and returns how many it removed. */
  double drawTokens(double wanted, long nowNanos) {
    advance(nowNanos);
    double n = Math.min(wanted, level);
    level -= n;
    return n;
  }

  /**
   * Settles the borrower's previous loan and makes the next one. Grants at most half of the level,
   * or more if the urgent tokens need it, so that some are left for other borrowers.
   *
   * @return the new loan; empty if the request is a duplicate or older than the last one
   */
  Optional<LentTokens> lend(MemberId borrower, LoanRequest r, long nowNanos) {
    advance(nowNanos);
    Loan previous = loans.getOrDefault(borrower, Loan.NONE);
    if (r.sequence() <= previous.sequence) {
      return Optional.empty();
    }
    double carried = Math.min(r.carriedTokens(), previous.tokens);
    lentTokens -= previous.tokens;
    level += Math.min(r.returnedTokens(), previous.tokens - carried);
    lentTokens += carried;
    clampLevel();
    double granted =
        Math.min(r.wantedTokens(), Math.max(Math.min(r.urgentTokens(), level), level / 2));
    level -= granted;
    lentTokens += granted;
    long termEndNanos = nowNanos + QuotaSettings.withDriftMargin(r.termNanos());
    // Until the reply arrives, the borrower may spend carried tokens to the end of the old term.
    long expiryNanos = carried > 0 ? Math.max(termEndNanos, previous.expiryNanos) : termEndNanos;
    loans.put(borrower, new Loan(r.sequence(), carried + granted, expiryNanos));
    return Optional.of(new LentTokens(carried, granted));
  }

  /** Returns the time until the bucket has a whole token, in milliseconds; 0 if it has one. */
  long retryAfterMillis() {
    double missing = Math.max(0, 1 - level);
    // The lower bound of the rate avoids a division by zero.
    return (long) Math.ceil(missing / Math.max(ratePerSecond, 1e-6) * MILLIS_PER_SECOND);
  }

  /** Returns the tokens of all loans that haven't expired. */
  double lentTokens(long nowNanos) {
    advance(nowNanos);
    return lentTokens;
  }

  /** Fills the bucket up to the given time and drops expired loans. */
  private void advance(long nowNanos) {
    if (nowNanos <= updatedNanos) {
      return;
    }
    level += ratePerSecond * CLOCK_DRIFT_FACTOR * (nowNanos - updatedNanos) / NANOS_PER_SECOND;
    updatedNanos = nowNanos;
    clampLevel();
    removeExpiredLoans(nowNanos);
  }

  /** Cuts the level so that level and loans stay within the capacity. */
  private void clampLevel() {
    level = Math.max(0, Math.min(level, capacity - lentTokens));
  }

  private void removeExpiredLoans(long nowNanos) {
    if (loans.values().removeIf(l -> l.expiryNanos <= nowNanos)) {
      lentTokens = loans.values().stream().mapToDouble(l -> l.tokens).sum();
    }
  }

  /**
   * Tokens that a borrower may spend after a request.
   *
   * @param carried tokens carried over from the previous loan
   * @param granted new tokens
   */
  record LentTokens(double carried, double granted) {}

  private record Loan(long sequence, double tokens, long expiryNanos) {
    private static final Loan NONE = new Loan(Long.MIN_VALUE, 0, Long.MIN_VALUE);
  }
}
