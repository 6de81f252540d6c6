package org.pomelohollow.bench.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** What one load saw. Thread-safe while it is recorded. */
public final class LoadResult {
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;

  private final Histogram served = new Histogram(MAX_MICROS, DIGITS);
  private final Map<Integer, Long> byStatus = new TreeMap<>();
  private long sent;

  synchronized void sent() {
    sent++;
  }

  synchronized void ended(Outcome o, long nanos) {
    byStatus.merge(o.status(), 1L, Long::sum);
    if (o.isServed()) {
      served.recordValue(Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
    }
  }

  /** Returns the number of requests sent. */
  public synchronized long sentCount() {
    return sent;
  }

  /** Returns the number of requests served whole. */
  public synchronized long servedCount() {
    return served.getTotalCount();
  }

  /** Returns counts by HTTP status; 0 stands for broken connections. */
  public synchronized Map<Integer, Long> byStatus() {
    return new TreeMap<>(byStatus);
  }

  /**
   * Returns a percentile of the latency of served requests, from their intended start.
   *
   * @param percentile 0 to 100
   * @return latency in milliseconds
   */
  public synchronized double latencyMillis(double percentile) {
    return served.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
