package org.pomelohollow.bench.overload;

import java.time.Duration;

/** Histogram of served requests over time, by the time of their response. Thread-safe. */
final class Timeline {
  private static final Duration BUCKET_LENGTH = Duration.ofMillis(250);

  private final long startNanos = System.nanoTime();
  private final int[] served;

  Timeline(Duration length) {
    served = new int[(int) (length.toNanos() / BUCKET_LENGTH.toNanos()) + 1];
  }

  /** Records a request that was served now; requests beyond the length are dropped. */
  synchronized void recordServed() {
    int i = (int) ((System.nanoTime() - startNanos) / BUCKET_LENGTH.toNanos());
    if (i < served.length) {
      served[i]++;
    }
  }

  /** Returns the served requests per second between two times, both relative to the start. */
  synchronized double rate(Duration from, Duration to) {
    int first = (int) (from.toNanos() / BUCKET_LENGTH.toNanos());
    int end = (int) (to.toNanos() / BUCKET_LENGTH.toNanos());
    int sum = 0;
    for (int i = first; i < end; i++) {
      sum += served[i];
    }
    return sum * 1e9 / (to.toNanos() - from.toNanos());
  }

  /**
   * Returns the time until the rate, averaged over one second, reaches a given rate again.
   *
   * @param from time relative to the start from which recovery counts
   * @param end end of the run, relative to the start
   * @param recoveredRate rate at which the load counts as recovered, in requests per second
   * @return seconds from {@code from} to the start of the first such second, or to {@code end} if
   *     there is none
   */
  synchronized double recoverySeconds(Duration from, Duration end, double recoveredRate) {
    Duration window = Duration.ofSeconds(1);
    Duration at = from;
    while (at.plus(window).compareTo(end) <= 0) {
      if (rate(at, at.plus(window)) >= recoveredRate) {
        return at.minus(from).toMillis() / 1e3;
      }
      at = at.plus(BUCKET_LENGTH);
    }
    return end.minus(from).toMillis() / 1e3;
  }
}
