package org.pomelohollow.junit;

import java.time.Duration;
import java.util.function.LongSupplier;

/** Monotonic clock that tests move by hand. */
public final class ManualClock implements LongSupplier {
  private long nanos;

  /** Creates a clock at an arbitrary, fixed time. */
  public ManualClock() {
    nanos = Duration.ofHours(1).toNanos();
  }

  /**
   * Moves the time forward.
   *
   * @param d amount, not negative
   * @return the new time, in nanoseconds
   */
  public long advance(Duration d) {
    if (d.isNegative()) {
      throw new IllegalArgumentException("time never goes back: " + d);
    }
    nanos += d.toNanos();
    return nanos;
  }

  @Override
  public long getAsLong() {
    return nanos;
  }
}
