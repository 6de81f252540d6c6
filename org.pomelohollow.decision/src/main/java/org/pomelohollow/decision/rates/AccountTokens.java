package org.pomelohollow.decision.rates;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.pomelohollow.decision.quota.QuotaResult;
import org.pomelohollow.model.AccountId;

/**
 * Tokens of one client account that an entry daemon holds, and the requests that wait for a token.
 *
 * <p>Tokens are requested from the account's home in batches ahead of demand. While the home does
 * not reply, requests are granted from a fallback bucket with a lower rate.
 */
final class AccountTokens {
  /**
   * Size of a batch of tokens, as time at the current demand; covers several round trips to a home
   * in another availability zone.
   */
  private static final double BATCH_DEMAND_SECONDS = 0.25;

  /** Share of a batch at which the next batch is requested. */
  private static final double REFILL_THRESHOLD_SHARE = 0.4;

  /** Window over which the demand is measured. */
  private static final double DEMAND_WINDOW_NANOS = 500e6;

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Time after which unused tokens expire, so that a daemon whose demand falls withholds none from
   * the others.
   */
  private static final long TOKEN_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time without a reply after which the home is considered unresponsive. */
  private static final long REPLY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time between two requests to an unresponsive home. */
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final Deque<WaitingRequest> waitingRequests = new ArrayDeque<>();
  private final TokenBucket fallbackBucket;
  private double heldTokens;
  private long tokensExpireNanos;
  private double demandPerSecond;
  private int windowArrivals;
  private long windowStartNanos;
  private long pendingSequence;
  private boolean replyPending;
  private long requestedNanos;
  private long homeEmptyUntilNanos;
  private boolean homeUnresponsive;

  AccountTokens(double fallbackRate, long nowNanos) {
    fallbackBucket = new TokenBucket(fallbackRate, capacity(fallbackRate), 1, nowNanos);
    windowStartNanos = nowNanos;
    requestedNanos = nowNanos;
    homeEmptyUntilNanos = nowNanos;
  }

  void setFallbackRate(double rate, long nowNanos) {
    fallbackBucket.resize(rate, capacity(rate), nowNanos);
  }

  /**
   * Requests a token for one request.
   *
   * @param callback receives the result, possibly before this method returns
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void acquire(Consumer<QuotaResult> callback, long nowNanos) {
    windowArrivals++;
    waitingRequests.add(
        new WaitingRequest(callback, nowNanos + HomeBucketRateLimiter.MAX_WAIT_NANOS));
    grantWaiting(nowNanos);
    if (!replyPending && !waitingRequests.isEmpty() && homeEmptyUntilNanos - nowNanos > 0) {
      completeAll(new QuotaResult.Exceeded(toMillisAtLeastOne(homeEmptyUntilNanos - nowNanos)));
    }
  }

  void tick(long nowNanos) {
    double elapsedNanos = nowNanos - windowStartNanos;
    if (elapsedNanos >= DEMAND_WINDOW_NANOS) {
      demandPerSecond = (demandPerSecond + windowArrivals * NANOS_PER_SECOND / elapsedNanos) / 2;
      windowArrivals = 0;
      windowStartNanos = nowNanos;
    }
    if (tokensExpireNanos - nowNanos < 0) {
      heldTokens = 0;
    }
    if (replyPending && nowNanos - requestedNanos > REPLY_TIMEOUT_NANOS) {
      replyPending = false;
      homeUnresponsive = true;
    }
    grantWaiting(nowNanos);
    while (!waitingRequests.isEmpty() && waitingRequests.peek().deadlineNanos - nowNanos < 0) {
      waitingRequests.remove().callback.accept(new QuotaResult.Unavailable());
    }
  }

  /** Drops the tokens that are held, because the process was paused. */
  void dropHeldTokens() {
    heldTokens = 0;
  }

  /** Returns whether to request tokens from the home now. */
  boolean shouldRequestTokens(long nowNanos) {
    boolean isDue = !homeUnresponsive || nowNanos - requestedNanos > RETRY_NANOS;
    boolean homeMayHaveTokens = homeEmptyUntilNanos - nowNanos <= 0;
    return !replyPending && isDue && homeMayHaveTokens && wantedTokens() >= 1;
  }

  /** Creates a request to the home, whose reply is then awaited. */
  TokenRequest startRequest(AccountId account, long sequence, long nowNanos) {
    replyPending = true;
    pendingSequence = sequence;
    requestedNanos = nowNanos;
    double neededTokens = Math.max(0, waitingRequests.size() - heldTokens);
    return new TokenRequest(
        account, sequence, neededTokens, Math.max(neededTokens, wantedTokens()));
  }

  /** Adds the tokens of a grant; ignores a reply to any request but the latest. */
  void addGrant(TokenGrant grant, long nowNanos) {
    if (!replyPending || grant.sequence() != pendingSequence) {
      return;
    }
    replyPending = false;
    homeUnresponsive = !grant.fromHome();
    heldTokens += grant.tokens();
    tokensExpireNanos = nowNanos + TOKEN_LIFETIME_NANOS;
    grantWaiting(nowNanos);
    if (grant.fromHome() && grant.retryAfterMillis() > 0) {
      homeEmptyUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(grant.retryAfterMillis());
      completeAll(new QuotaResult.Exceeded(grant.retryAfterMillis()));
    }
  }

  @Override
  public String toString() {
    return heldTokens
        + " held, demand "
        + demandPerSecond
        + " per second, home silent "
        + homeUnresponsive;
  }

  private double wantedTokens() {
    double batchTokens = demandPerSecond * BATCH_DEMAND_SECONDS;
    double missingTokens = waitingRequests.size() - heldTokens;
    return heldTokens <= REFILL_THRESHOLD_SHARE * batchTokens
        ? Math.max(missingTokens, 0) + Math.floor(batchTokens)
        : missingTokens;
  }

  private void grantWaiting(long nowNanos) {
    while (!waitingRequests.isEmpty() && spendToken(nowNanos)) {
      waitingRequests.remove().callback.accept(new QuotaResult.Granted());
    }
  }

  /** Spends a token. Its lifetime is checked here as well, since a pause may precede the tick. */
  private boolean spendToken(long nowNanos) {
    if (heldTokens >= 1 && tokensExpireNanos - nowNanos >= 0) {
      heldTokens--;
      return true;
    }
    return homeUnresponsive && fallbackBucket.take(1, nowNanos) >= 1;
  }

  private void completeAll(QuotaResult result) {
    while (!waitingRequests.isEmpty()) {
      waitingRequests.remove().callback.accept(result);
    }
  }

  private static double capacity(double rate) {
    return Math.max(1, rate);
  }

  private static long toMillisAtLeastOne(long nanos) {
    return Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos));
  }

  private record WaitingRequest(Consumer<QuotaResult> callback, long deadlineNanos) {}
}
