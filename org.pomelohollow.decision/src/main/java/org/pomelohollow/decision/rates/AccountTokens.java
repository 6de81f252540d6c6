package org.pomelohollow.decision.rates;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.pomelohollow.decision.quota.QuotaResult;
import org.pomelohollow.model.AccountId;

/** Tokens of one account at a daemon that takes its requests. */
final class AccountTokens {
  /** Demand that is kept in stock: some round trips to a home in another availability zone. */
  private static final double STOCK_SECONDS = 0.25;

  private static final double LOW_STOCK = 0.4;
  private static final double DEMAND_WINDOW_NANOS = 500e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Unused tokens lapse, so that a daemon whose demand falls keeps none from the others. */
  private static final long STOCK_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time without an answer after which the home counts as silent. */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final long ASK_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private final Bucket fallback;
  private double held;
  private long heldUntilNanos;
  private double demandPerSecond;
  private int arrivals;
  private long windowNanos;
  private long pendingSequence;
  private boolean pending;
  private long askedNanos;
  private long emptyUntilNanos;
  private boolean silent;

  AccountTokens(double fallbackRate, long nowNanos) {
    fallback = new Bucket(fallbackRate, capacity(fallbackRate), 1, nowNanos);
    windowNanos = nowNanos;
    askedNanos = nowNanos;
    emptyUntilNanos = nowNanos;
  }

  void setFallbackRate(double rate, long nowNanos) {
    fallback.resize(rate, capacity(rate), nowNanos);
  }

  void acquire(Consumer<QuotaResult> answer, long nowNanos) {
    arrivals++;
    waiters.add(new Waiter(answer, nowNanos + PooledRates.LONGEST_WAIT_NANOS));
    serve(nowNanos);
    if (!pending && !waiters.isEmpty() && emptyUntilNanos - nowNanos > 0) {
      refuseAll(new QuotaResult.Exceeded(millis(emptyUntilNanos - nowNanos)));
    }
  }

  void tick(long nowNanos) {
    double passed = nowNanos - windowNanos;
    if (passed >= DEMAND_WINDOW_NANOS) {
      demandPerSecond = (demandPerSecond + arrivals * NANOS_PER_SECOND / passed) / 2;
      arrivals = 0;
      windowNanos = nowNanos;
    }
    if (heldUntilNanos - nowNanos < 0) {
      held = 0;
    }
    if (pending && nowNanos - askedNanos > SILENCE_NANOS) {
      pending = false;
      silent = true;
    }
    serve(nowNanos);
    while (!waiters.isEmpty() && waiters.peek().untilNanos - nowNanos < 0) {
      waiters.remove().answer.accept(new QuotaResult.Unavailable());
    }
  }

  /** Returns whether to ask the home now. */
  boolean wantsTokens(long nowNanos) {
    boolean due = !silent || nowNanos - askedNanos > ASK_AGAIN_NANOS;
    boolean mayHaveSome = emptyUntilNanos - nowNanos <= 0;
    return !pending && due && mayHaveSome && wanted() >= 1;
  }

  TokenRequest request(AccountId account, long sequence, long nowNanos) {
    pending = true;
    pendingSequence = sequence;
    askedNanos = nowNanos;
    double needed = Math.max(0, waiters.size() - held);
    return new TokenRequest(account, sequence, needed, Math.max(needed, wanted()));
  }

  void granted(TokenGrant g, long nowNanos) {
    if (!pending || g.sequence() != pendingSequence) {
      return;
    }
    pending = false;
    silent = !g.home();
    held += g.tokens();
    heldUntilNanos = nowNanos + STOCK_NANOS;
    serve(nowNanos);
    if (g.home() && g.retryAfterMillis() > 0) {
      emptyUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(g.retryAfterMillis());
      refuseAll(new QuotaResult.Exceeded(g.retryAfterMillis()));
    }
  }

  @Override
  public String toString() {
    return held + " held, demand " + demandPerSecond + " per second, home silent " + silent;
  }

  private double wanted() {
    double stock = demandPerSecond * STOCK_SECONDS;
    double missing = waiters.size() - held;
    return held <= LOW_STOCK * stock ? Math.max(missing, 0) + Math.floor(stock) : missing;
  }

  private void serve(long nowNanos) {
    while (!waiters.isEmpty() && spend(nowNanos)) {
      waiters.remove().answer.accept(new QuotaResult.Granted());
    }
  }

  private boolean spend(long nowNanos) {
    if (held >= 1) {
      held--;
      return true;
    }
    return silent && fallback.take(1, nowNanos) >= 1;
  }

  private void refuseAll(QuotaResult a) {
    while (!waiters.isEmpty()) {
      waiters.remove().answer.accept(a);
    }
  }

  private static double capacity(double rate) {
    return Math.max(1, rate);
  }

  private static long millis(long nanos) {
    return Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos));
  }

  private record Waiter(Consumer<QuotaResult> answer, long untilNanos) {}
}
