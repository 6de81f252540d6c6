package org.pomelohollow.decision;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Detects pauses of the process by the time between successive checks.
 *
 * <p>While a host is suspended, its monotonic clock stands still, but the time of day goes on, so
 * that both are compared. A step of the time of day can look like a pause, too; a pause that did
 * not happen only costs some confirmations by peers.
 */
public final class PauseDetector {
  private static final long MIN_PAUSE_NANOS = 1_000_000_000L;

  private boolean checkedBefore;
  private long lastCheckNanos;
  private long lastWallMillis;

  /**
   * Checks for a pause since the last check. Must be called at least at every {@link Event.Tick}.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @param wallMillis current time of day, in milliseconds since the epoch
   * @return length of the pause in nanoseconds; empty if there was none
   */
  public OptionalLong check(long nowNanos, long wallMillis) {
    long gapNanos =
        Math.max(
            nowNanos - lastCheckNanos, TimeUnit.MILLISECONDS.toNanos(wallMillis - lastWallMillis));
    boolean paused = checkedBefore && gapNanos >= MIN_PAUSE_NANOS;
    checkedBefore = true;
    lastCheckNanos = nowNanos;
    lastWallMillis = wallMillis;
    return paused ? OptionalLong.of(gapNanos) : OptionalLong.empty();
  }
}
