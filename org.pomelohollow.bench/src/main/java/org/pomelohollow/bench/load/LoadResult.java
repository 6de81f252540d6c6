package org.pomelohollow.bench.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Outcomes and latencies of one load. Thread-safe. */
public final class LoadResult {
  private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;

  private final Histogram servedMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private final Map<Integer, Long> byStatus = new TreeMap<>();
  private long sent;

  synchronized void recordSent() {
    sent++;
  }

  synchronized void recordOutcome(Outcome o, long latencyNanos) {
    byStatus.merge(o.status(), 1L, Long::sum);
    if (o.isServed()) {
      servedMicros.recordValue(
          Math.min(MAX_LATENCY_MICROS, TimeUnit.NANOSECONDS.toMicros(latencyNanos)));
    }
  }

  /** Returns the number of requests sent. */
  public synchronized long sentCount() {
    return sent;
  }

  /** Returns the number of requests that were served. */
  public synchronized long servedCount() {
    return servedMicros.getTotalCount();
  }

  /** Returns the number of requests by HTTP status; status 0 counts broken connections. */
  public synchronized Map<Integer, Long> byStatus() {
    return new TreeMap<>(byStatus);
  }

  /**
   * Returns a percentile of the latency of served requests, measured from their intended start.
   *
   * @param percentile percentile, 0 to 100
   * @return latency in milliseconds
   */
  public synchronized double latencyMillis(double percentile) {
    return servedMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
