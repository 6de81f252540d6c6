package org.pomelohollow.decision.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Latencies of one source's requests, and counts by the second in which they were sent or served.
 */
public final class SourceStats {
  private final int[] served;
  private final int[] offered;
  private final List<Double> latenciesMillis = new ArrayList<>();

  SourceStats(int seconds) {
    served = new int[seconds + 1];
    offered = new int[seconds + 1];
  }

  void recordOffered(double second) {
    offered[(int) second]++;
  }

  void recordServed(double second, double latencyMillis) {
    served[(int) second]++;
    latenciesMillis.add(latencyMillis);
  }

  /**
   * Returns the mean number of whole responses per second from {@code from} to {@code to} seconds.
   */
  public double goodput(int from, int to) {
    return sum(served, from, to) / (double) (to - from);
  }

  /** Returns the number of served requests per sent one from {@code from} to {@code to} seconds. */
  public double successShare(int from, int to) {
    return sum(served, from, to) / (double) Math.max(1, sum(offered, from, to));
  }

  /** Returns a quantile of the latency of whole responses, in milliseconds. */
  public double latencyQuantileMillis(double q) {
    List<Double> s = new ArrayList<>(latenciesMillis);
    Collections.sort(s);
    return s.isEmpty() ? 0 : s.get((int) (q * (s.size() - 1)));
  }

  private static int sum(int[] a, int from, int to) {
    int n = 0;
    for (int i = from; i < to; i++) {
      n += a[i];
    }
    return n;
  }
}
