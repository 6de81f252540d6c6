package org.pomelohollow.decision.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What became of one source's requests, by the second in which they ended. */
public final class SourceStats {
  private final int[] served;
  private final int[] offered;
  private final List<Double> millis = new ArrayList<>();

  SourceStats(int seconds) {
    served = new int[seconds + 1];
    offered = new int[seconds + 1];
  }

  void recordOffered(double second) {
    offered[(int) second]++;
  }

  void recordServed(double second, double latencyMillis) {
    served[(int) second]++;
    millis.add(latencyMillis);
  }

  /** Returns whole answers a second within an interval of whole seconds. */
  public double goodput(int from, int to) {
    return sum(served, from, to) / (double) (to - from);
  }

  /** Returns the share of requests answered in time within an interval of whole seconds. */
  public double successShare(int from, int to) {
    return sum(served, from, to) / (double) Math.max(1, sum(offered, from, to));
  }

  /** Returns a quantile of the latency of whole answers, in milliseconds. */
  public double latencyQuantileMillis(double q) {
    List<Double> s = new ArrayList<>(millis);
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
