package org.pomelohollow.decision.fairness;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.AccountId;

/**
 * Recognizes requests of callers that were refused and return. A returned request has a new
 * connection and identifier, so it is recognized by account, route and the time of its return.
 */
public final class ReturnedRequests {
  /** Time after the end of the retry delay in which a request counts as returned. */
  private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Returns that may be expected at once; bounds the memory in a flood of refusals. */
  private static final int MAX_EXPECTED = 4_096;

  /** Weight of the newest request in the portion of returned requests. */
  private static final double SMOOTHING = 0.02;

  /** Portion of returned requests that is assumed at most, so that new ones stay countable. */
  private static final double MAX_PORTION = 0.9;

  private final Map<Key, PriorityQueue<Long>> returnsByKey = new HashMap<>();
  private int size;
  private double portion;

  /**
   * Records that a caller was refused and will return.
   *
   * @param account account of the request
   * @param route route of the request
   * @param returnNanos earliest monotonic time of the return, in nanoseconds
   */
  public void expect(AccountId account, String route, long returnNanos) {
    if (size < MAX_EXPECTED) {
      returnsByKey
          .computeIfAbsent(new Key(account, route), k -> new PriorityQueue<>())
          .add(returnNanos);
      size++;
    }
  }

  /**
   * Returns whether a request is probably one that returns, which is then no longer expected.
   *
   * @param account account of the request
   * @param route route of the request
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public boolean take(AccountId account, String route, long nowNanos) {
    Key key = new Key(account, route);
    PriorityQueue<Long> returns = returnsByKey.get(key);
    boolean isReturned = false;
    if (returns != null) {
      dropExpired(returns, nowNanos);
      isReturned = !returns.isEmpty() && returns.peek() <= nowNanos;
      if (isReturned) {
        returns.remove();
        size--;
      }
      if (returns.isEmpty()) {
        returnsByKey.remove(key);
      }
    }
    portion += SMOOTHING * ((isReturned ? 1 : 0) - portion);
    return isReturned;
  }

  /**
   * Drops the returns that did not come.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void tick(long nowNanos) {
    returnsByKey.values().forEach(q -> dropExpired(q, nowNanos));
    returnsByKey.values().removeIf(PriorityQueue::isEmpty);
  }

  /** Returns the number of expected returns. */
  public int size() {
    return size;
  }

  /**
   * Divides a share between new and returned requests. Returned ones are refused with its power of
   * 1.5, because a second refusal is worse for a caller than the first; new ones with so much more
   * that the sum over both is kept. A square refused more at their first attempt and served fewer.
   *
   * @param share share of the requests to refuse, from 0 to 1
   * @param returned whether the request is a returned one
   * @return the share of its kind to refuse, from 0 to 1
   */
  public double shareToRefuse(double share, boolean returned) {
    double ofReturned = share * Math.sqrt(share);
    double p = Math.min(MAX_PORTION, portion);
    return returned ? ofReturned : Math.min(1, (share - p * ofReturned) / (1 - p));
  }

  private void dropExpired(PriorityQueue<Long> returns, long nowNanos) {
    while (!returns.isEmpty() && nowNanos - returns.peek() > WINDOW_NANOS) {
      returns.remove();
      size--;
    }
  }

  private record Key(AccountId account, String route) {}
}
