package org.pomelohollow.daemon;

import java.time.Duration;
import java.util.function.LongConsumer;
import org.tinylog.Logger;

/**
 * Measures how late the event loop runs a periodic task: everything that the daemon notices, such
 * as the close of a connection, is delayed as much.
 */
final class LoopDelay {
  private static final long MIN_LOGGED_NANOS = Duration.ofMillis(250).toNanos();

  private final long periodNanos;
  private final LongConsumer recorder;
  private long lastNanos;

  /**
   * Creates an instance; the first task is due one period from now.
   *
   * @param period time between two tasks
   * @param nowNanos current monotonic time, in nanoseconds
   * @param recorder receives each delay, in nanoseconds
   */
  LoopDelay(Duration period, long nowNanos, LongConsumer recorder) {
    this.periodNanos = period.toNanos();
    this.lastNanos = nowNanos;
    this.recorder = recorder;
  }

  /**
   * Records that the periodic task runs.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void taskRuns(long nowNanos) {
    long delayNanos = Math.max(0, nowNanos - lastNanos - periodNanos);
    lastNanos = nowNanos;
    recorder.accept(delayNanos);
    if (delayNanos >= MIN_LOGGED_NANOS) {
      Logger.warn("daemon: the event loop was {} ms late", Duration.ofNanos(delayNanos).toMillis());
    }
  }
}
