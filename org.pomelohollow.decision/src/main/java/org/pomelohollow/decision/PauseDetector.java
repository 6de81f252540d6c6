package org.pomelohollow.decision;

import java.util.OptionalLong;

/** Detects pauses of the process by the time between successive checks. */
public final class PauseDetector {
  private static final long MIN_PAUSE_NANOS = 1_000_000_000L;

  private boolean checkedBefore;
  private long lastCheckNanos;

  /**
   * Checks for a pause since the last check. Must be called at least at every {@link Event.Tick}.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return length of the pause in nanoseconds; empty if there was none
   */
  public OptionalLong check(long nowNanos) {
    long gapNanos = nowNanos - lastCheckNanos;
    boolean paused = checkedBefore && gapNanos >= MIN_PAUSE_NANOS;
    checkedBefore = true;
    lastCheckNanos = nowNanos;
    return paused ? OptionalLong.of(gapNanos) : OptionalLong.empty();
  }
}
