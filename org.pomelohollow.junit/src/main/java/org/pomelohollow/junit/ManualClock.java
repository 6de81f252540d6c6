package org.pomelohollow.junit;

import java.time.Duration;
import java.util.function.LongSupplier;

/** Monotonic clock that tests advance by hand. */
public final class ManualClock implements LongSupplier {
  private long nanos;

  /** Creates a clock at an arbitrary, fixed time. */
  public ManualClock() {
    nanos = Duration.ofHours(1).toNanos();
  }

  /**
   * Advances the time.
   *
   * @param d duration, not negative
   * @return the new time, in nanoseconds
   */
  public long advance(Duration d) {
    if (d.isNegative()) {
      throw new IllegalArgumentException(
          "a monotonic clock cannot go back, but the duration is " + d);
    }
    nanos += d.toNanos();
    return nanos;
  }

  @Override
  public long getAsLong() {
    return nanos;
  }
}
