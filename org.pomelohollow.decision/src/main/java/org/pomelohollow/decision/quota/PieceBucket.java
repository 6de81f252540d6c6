package org.pomelohollow.decision.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.model.MemberId;

/**
 * Token bucket of one piece with the loans made from it.
 *
 * <p>The level and the loans that a borrower may still spend never exceed the capacity together, so
 * that a window of length t sees at most capacity + rate * t tokens spent.
 */
final class PieceBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;
  private static final double SLOWEST_CLOCK = 1 - QuotaTerms.MAX_DRIFT;

  private final Map<MemberId, Loan> loans = new HashMap<>();
  private double ratePerSecond;
  private double capacity;
  private double level;
  private double lent;
  private long atNanos;

  /** Creates a bucket that fills from the given time. */
  PieceBucket(double tokens, long fromNanos) {
    level = tokens;
    atNanos = fromNanos;
  }

  /** Sets rate and capacity. A greater capacity fills at the rate, a smaller one cuts at once. */
  void resize(double newRate, double newCapacity, long nowNanos) {
    advance(nowNanos);
    ratePerSecond = newRate;
    capacity = newCapacity;
    clip();
  }

  double level(long nowNanos) {
    advance(nowNanos);
    return level;
  }

  /** Takes up to the given amount for use at once and returns what was taken. */
  double draw(double wanted, long nowNanos) {
    advance(nowNanos);
    double n = Math.min(wanted, level);
    level -= n;
    return n;
  }

  /** Settles the borrower's loan and makes the next one; empty for a repeated or older request. */
  Optional<Lent> lend(MemberId borrower, LoanRequest r, long nowNanos) {
    advance(nowNanos);
    Loan old = loans.getOrDefault(borrower, Loan.NONE);
    if (r.sequence() <= old.sequence) {
      return Optional.empty();
    }
    double kept = Math.min(r.carried(), old.tokens);
    lent -= old.tokens;
    level += Math.min(r.returned(), old.tokens - kept);
    lent += kept;
    clip();
    double granted = Math.min(r.wanted(), Math.max(Math.min(r.urgent(), level), level / 2));
    level -= granted;
    lent += granted;
    long end = nowNanos + QuotaTerms.padded(r.termNanos());
    long ends = kept > 0 ? Math.max(end, old.endNanos) : end;
    loans.put(borrower, new Loan(r.sequence(), kept + granted, ends));
    return Optional.of(new Lent(kept, granted));
  }

  long retryAfterMillis() {
    double missing = Math.max(0, 1 - level);
    return (long) Math.ceil(missing / Math.max(ratePerSecond, 1e-6) * MILLIS_PER_SECOND);
  }

  double lent(long nowNanos) {
    advance(nowNanos);
    return lent;
  }

  private void advance(long nowNanos) {
    if (nowNanos <= atNanos) {
      return;
    }
    level += ratePerSecond * SLOWEST_CLOCK * (nowNanos - atNanos) / NANOS_PER_SECOND;
    atNanos = nowNanos;
    clip();
    expire(nowNanos);
  }

  private void clip() {
    level = Math.max(0, Math.min(level, capacity - lent));
  }

  private void expire(long nowNanos) {
    if (loans.values().removeIf(l -> l.endNanos <= nowNanos)) {
      lent = loans.values().stream().mapToDouble(l -> l.tokens).sum();
    }
  }

  /** What a request got. */
  record Lent(double kept, double granted) {}

  private record Loan(long sequence, double tokens, long endNanos) {
    private static final Loan NONE = new Loan(Long.MIN_VALUE, 0, Long.MIN_VALUE);
  }
}
