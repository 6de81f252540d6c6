package org.pomelohollow.bench.overload;

import java.time.Duration;

/** Served requests over time, by the time of their answer. Thread-safe. */
final class Timeline {
  private static final Duration BUCKET = Duration.ofMillis(250);

  private final long startNanos = System.nanoTime();
  private final int[] served;

  Timeline(Duration length) {
    served = new int[(int) (length.toNanos() / BUCKET.toNanos()) + 1];
  }

  synchronized void served() {
    int i = (int) ((System.nanoTime() - startNanos) / BUCKET.toNanos());
    if (i < served.length) {
      served[i]++;
    }
  }

  /** Returns served requests per second between two times since the start. */
  synchronized double rate(Duration from, Duration to) {
    int a = (int) (from.toNanos() / BUCKET.toNanos());
    int b = (int) (to.toNanos() / BUCKET.toNanos());
    int sum = 0;
    for (int i = a; i < b; i++) {
      sum += served[i];
    }
    return sum * 1e9 / (to.toNanos() - from.toNanos());
  }

  /**
   * Returns the time from a moment until the rate over one second is back at a floor.
   *
   * @return seconds, or the rest of the run if it does not come back
   */
  synchronized double recoverySeconds(Duration from, Duration end, double floor) {
    Duration window = Duration.ofSeconds(1);
    Duration at = from;
    while (at.plus(window).compareTo(end) <= 0) {
      if (rate(at, at.plus(window)) >= floor) {
        return at.minus(from).toMillis() / 1e3;
      }
      at = at.plus(BUCKET);
    }
    return end.minus(from).toMillis() / 1e3;
  }
}
