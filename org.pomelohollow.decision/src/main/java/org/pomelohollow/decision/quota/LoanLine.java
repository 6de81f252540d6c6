package org.pomelohollow.decision.quota;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.MemberId;

/** What one daemon has borrowed of one piece, and what it knows of the holder. */
final class LoanLine {
  private static final long DOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
  private static final long MAX_EXHAUSTED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long HINT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Piece piece;
  private double tokens;
  private double lent;
  private double asked;
  private long endsNanos = Long.MIN_VALUE;
  private long sequence;
  private long sentNanos;
  private long sentTermNanos;
  private boolean pending;
  private boolean down;
  private long blockedNanos = Long.MIN_VALUE;
  private long retryAfterMillis;
  private double left = Double.MAX_VALUE;
  private Optional<MemberId> hint = Optional.empty();
  private long hintEndsNanos = Long.MIN_VALUE;

  LoanLine(Piece piece) {
    this.piece = piece;
  }

  Piece piece() {
    return piece;
  }

  /** Returns the tokens that may be spent now. */
  double usable(long nowNanos) {
    if (nowNanos >= endsNanos) {
      tokens = 0;
    }
    return tokens;
  }

  double spend(double wanted, long nowNanos) {
    double n = Math.min(wanted, usable(nowNanos));
    tokens -= n;
    return n;
  }

  /** Returns the spent tokens that the holder still counts as lent. */
  double unsettled(long nowNanos) {
    return nowNanos < endsNanos ? lent - usable(nowNanos) : 0;
  }

  long sentNanos() {
    return sentNanos;
  }

  long endsNanos() {
    return endsNanos;
  }

  boolean isPending() {
    return pending;
  }

  /** Tells whether the holder did not answer or does not lend. */
  boolean isDown() {
    return down;
  }

  boolean isOpen(long nowNanos) {
    return !pending && nowNanos >= blockedNanos;
  }

  /** Returns the tokens that the holder had left when it last answered. */
  double left() {
    return left;
  }

  long retryAfterMillis(long nowNanos) {
    long passed = TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos);
    return Math.max(1, retryAfterMillis - passed);
  }

  Optional<MemberId> hint(long nowNanos) {
    return nowNanos < hintEndsNanos ? hint : Optional.empty();
  }

  /** Gives up the surplus over what is carried and makes the request for the next loan. */
  LoanRequest request(long next, Amounts a, long termNanos, long nowNanos) {
    double before = usable(nowNanos);
    double carried = Math.min(before, a.carried);
    tokens = carried;
    lent = carried;
    asked = a.wanted;
    sequence = next;
    sentNanos = nowNanos;
    sentTermNanos = termNanos;
    pending = a.wanted + carried > 0;
    return new LoanRequest(piece, next, a.urgent, a.wanted, carried, before - carried, termNanos);
  }

  /** Takes an answer. Answers to older requests are ignored: their tokens are lost. */
  boolean answered(LoanAnswer a, long nowNanos) {
    if (a.sequence() != sequence || !(pending || down)) {
      return false;
    }
    pending = false;
    down = !a.lends();
    left = a.left();
    if (!a.lends()) {
      hint = a.holder();
      hintEndsNanos = nowNanos + HINT_NANOS;
      blockedNanos = nowNanos + DOWN_NANOS / 2;
      return true;
    }
    tokens = Math.min(usable(nowNanos), a.kept()) + a.granted();
    lent = a.kept() + a.granted();
    endsNanos = sentNanos + sentTermNanos;
    sequence = -1;
    retryAfterMillis = a.retryAfterMillis();
    boolean enough = a.granted() >= Math.min(1, asked);
    long block = TimeUnit.MILLISECONDS.toNanos(retryAfterMillis);
    blockedNanos = enough ? nowNanos : nowNanos + Math.min(block, MAX_EXHAUSTED_NANOS);
    return true;
  }

  /** Stops waiting for a holder that does not answer. */
  void fail(long nowNanos) {
    if (pending) {
      pending = false;
      down = true;
      left = 0;
      blockedNanos = nowNanos + DOWN_NANOS;
    }
  }

  boolean isOverdue(long nowNanos, long timeoutNanos) {
    return pending && nowNanos - sentNanos >= timeoutNanos;
  }

  /**
   * Amounts of a request.
   *
   * @param urgent for requests that wait
   * @param wanted in all
   * @param carried most unspent tokens to go on holding
   */
  record Amounts(double urgent, double wanted, double carried) {}
}
