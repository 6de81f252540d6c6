package org.pomelohollow.decision.admission;

import java.util.concurrent.TimeUnit;
import org.pomelohollow.document.ColdStartRate;

/**
 * Paces the requests to a target that bears a stated rate while it is cold.
 *
 * <p>A token bucket: in any second at most the stated rate, a fifth more, and the burst are
 * started.
 */
final class ColdPace {
  /** Share of the stated rate that is used; targets bear half as much again. */
  private static final double RATE_SHARE = 1.2;

  /** Requests that may start at once. */
  private static final double BURST = 3;

  private static final double NANOS_PER_SECOND = 1e9;

  private final ColdStartRate rate;
  private boolean cold;
  private long coldUntilNanos;
  private double tokens = 1;
  private long atNanos;

  ColdPace(ColdStartRate rate) {
    this.rate = rate;
  }

  /** Starts the whole cold time anew. */
  void fall(long nowNanos) {
    become(rate.durationMillis(), nowNanos);
  }

  /** Takes the target's own word on how long it stays cold. */
  void announced(long millis, long nowNanos) {
    if (millis > 0) {
      become(millis, nowNanos);
    } else {
      cold = false;
    }
  }

  boolean isCold(long nowNanos) {
    cold = cold && coldUntilNanos - nowNanos > 0;
    return cold;
  }

  /** Returns requests in flight that the pace amounts to, for peers to weigh the target by. */
  int equivalentLimit() {
    return (int) Math.max(1, rate.requestsPerSecond() * TimeUnit.MILLISECONDS.toNanos(100) / 1e9);
  }

  /** Tells whether a request may start now. */
  boolean mayStart(long nowNanos) {
    fill(nowNanos);
    return !isCold(nowNanos) || tokens >= 1;
  }

  /** Notes that a request started. */
  void started(long nowNanos) {
    fill(nowNanos);
    tokens = Math.max(0, tokens - 1);
  }

  private void become(long millis, long nowNanos) {
    fill(nowNanos);
    if (!isCold(nowNanos)) {
      tokens = Math.min(tokens, 1);
    }
    cold = true;
    coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void fill(long nowNanos) {
    double passed = Math.max(0, nowNanos - atNanos) / NANOS_PER_SECOND;
    tokens = Math.min(BURST, tokens + passed * rate.requestsPerSecond() * RATE_SHARE);
    atNanos = nowNanos;
  }
}
