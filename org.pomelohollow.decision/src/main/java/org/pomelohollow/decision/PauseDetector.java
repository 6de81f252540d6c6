package org.pomelohollow.decision;

import java.util.OptionalLong;

/** Finds out from the gap between calls that the process was paused. */
public final class PauseDetector {
  private static final long PAUSE_NANOS = 1_000_000_000L;

  private boolean started;
  private long lastNanos;

  /**
   * Notes a call. Calls come at least at every {@link Event.Tick}.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return length of the pause in nanoseconds, if the process was paused since the last call
   */
  public OptionalLong check(long nowNanos) {
    long gap = nowNanos - lastNanos;
    boolean paused = started && gap >= PAUSE_NANOS;
    started = true;
    lastNanos = nowNanos;
    return paused ? OptionalLong.of(gap) : OptionalLong.empty();
  }
}
