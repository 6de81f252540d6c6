package org.pomelohollow.decision.rates;

/** Token bucket with a rate and a capacity that can be changed. */
final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;

  private double ratePerSecond;
  private double capacity;
  private double tokens;
  private long filledNanos;

  TokenBucket(double ratePerSecond, double capacity, double tokens, long nowNanos) {
    this.ratePerSecond = ratePerSecond;
    this.capacity = capacity;
    this.tokens = Math.min(tokens, capacity);
    this.filledNanos = nowNanos;
  }

  void resize(double newRatePerSecond, double newCapacity, long nowNanos) {
    refill(nowNanos);
    ratePerSecond = newRatePerSecond;
    capacity = newCapacity;
    tokens = Math.min(tokens, capacity);
  }

  /** Takes the available whole tokens, at most the wanted number, and returns how many it took. */
  double take(double wanted, long nowNanos) {
    refill(nowNanos);
    double taken = Math.floor(Math.max(0, Math.min(wanted, tokens)));
    tokens -= taken;
    return taken;
  }

  /**
   * Returns the time until a whole token is available, in milliseconds; a second at a rate of 0.
   */
  long retryAfterMillis() {
    if (tokens >= 1) {
      return 0;
    }
    return ratePerSecond > 0
        ? (long) Math.ceil((1 - tokens) / ratePerSecond * MILLIS_PER_SECOND)
        : (long) MILLIS_PER_SECOND;
  }

  double tokens() {
    return tokens;
  }

  private void refill(long nowNanos) {
    double elapsedNanos = Math.max(0, nowNanos - filledNanos);
    tokens = Math.min(capacity, tokens + elapsedNanos * ratePerSecond / NANOS_PER_SECOND);
    filledNanos = Math.max(filledNanos, nowNanos);
  }
}
