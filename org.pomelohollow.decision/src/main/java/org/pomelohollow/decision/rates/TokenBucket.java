package org.pomelohollow.decision.rates;

/** A token bucket. */
final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;

  private double perSecond;
  private double capacity;
  private double level;
  private long atNanos;

  TokenBucket(double perSecond, double capacity, double level, long nowNanos) {
    this.perSecond = perSecond;
    this.capacity = capacity;
    this.level = Math.min(level, capacity);
    this.atNanos = nowNanos;
  }

  void resize(double newPerSecond, double newCapacity, long nowNanos) {
    fill(nowNanos);
    perSecond = newPerSecond;
    capacity = newCapacity;
    level = Math.min(level, capacity);
  }

  /** Takes whole tokens, at most as many as wanted and as there are. */
  double take(double wanted, long nowNanos) {
    fill(nowNanos);
    double n = Math.floor(Math.max(0, Math.min(wanted, level)));
    level -= n;
    return n;
  }

  /** Returns the time until there is a whole token, in milliseconds. */
  long retryAfterMillis() {
    if (level >= 1) {
      return 0;
    }
    return perSecond > 0
        ? (long) Math.ceil((1 - level) / perSecond * MILLIS_PER_SECOND)
        : (long) MILLIS_PER_SECOND;
  }

  double level() {
    return level;
  }

  private void fill(long nowNanos) {
    double passed = Math.max(0, nowNanos - atNanos);
    level = Math.min(capacity, level + passed * perSecond / NANOS_PER_SECOND);
    atNanos = Math.max(atNanos, nowNanos);
  }
}
