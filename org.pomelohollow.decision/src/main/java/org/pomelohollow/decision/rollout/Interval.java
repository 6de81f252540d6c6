package org.pomelohollow.decision.rollout;

/** Lets something happen at most once per interval. */
final class Interval {
  private final long nanos;
  private long lastNanos;
  private boolean started;

  Interval(long nanos) {
    this.nanos = nanos;
  }

  /** Returns whether the interval has passed since the last time that this was true. */
  boolean isDue(long nowNanos) {
    if (started && nowNanos - lastNanos < nanos) {
      return false;
    }
    restart(nowNanos);
    return true;
  }

  void restart(long nowNanos) {
    started = true;
    lastNanos = nowNanos;
  }

  /** Makes it due at once. */
  void clear() {
    started = false;
  }
}
