package org.pomelohollow.decision.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects a sudden rise of a target's latency: most of the latest requests took several times the
 * mean of their routes.
 */
final class LatencyJumpDetector {
  /** Multiple of the mean of its route above which a request counts as slow. */
  private static final double JUMP_FACTOR = 4;

  /** Multiple of the mean to which a request is clipped before it enters the mean. */
  private static final double CLIP_FACTOR = 2;

  private static final int WINDOW_REQUESTS = 16;
  private static final int MIN_SLOW_REQUESTS = 12;

  /** Requests of a route before its mean is used. */
  private static final int MIN_BASELINE_REQUESTS = 64;

  /** Least weight of the newest request in the mean. */
  private static final double MIN_SMOOTHING = 1.0 / 128;

  private final Map<String, Baseline> baselines = new HashMap<>();
  private final boolean[] slow = new boolean[WINDOW_REQUESTS];
  private int nextIndex;
  private int slowCount;

  /**
   * Adds the latency of a request, and clears all measurements if a jump is detected.
   *
   * @param route route of the request
   * @param selfTimeNanos self time of the request at the target, in nanoseconds
   * @return whether a jump was detected
   */
  boolean addSample(String route, long selfTimeNanos) {
    Baseline b = baselines.computeIfAbsent(route, k -> new Baseline());
    boolean isSlow = b.isExceededBy(selfTimeNanos);
    b.add(selfTimeNanos);
    slowCount += (isSlow ? 1 : 0) - (slow[nextIndex] ? 1 : 0);
    slow[nextIndex] = isSlow;
    nextIndex = (nextIndex + 1) % WINDOW_REQUESTS;
    if (slowCount < MIN_SLOW_REQUESTS) {
      return false;
    }
    clear();
    return true;
  }

  /** Returns whether a latency is far above the mean of its route; false if that is unknown. */
  boolean isSlow(String route, long selfTimeNanos) {
    Baseline b = baselines.get(route);
    return b != null && b.isExceededBy(selfTimeNanos);
  }

  void clear() {
    baselines.clear();
    Arrays.fill(slow, false);
    slowCount = 0;
  }

  private static final class Baseline {
    private int count;
    private double meanNanos;

    boolean isExceededBy(long nanos) {
      return count >= MIN_BASELINE_REQUESTS && nanos > JUMP_FACTOR * meanNanos;
    }

    void add(long nanos) {
      count++;
      double clippedNanos = nanos;
      if (count > MIN_BASELINE_REQUESTS) {
        clippedNanos = Math.min(clippedNanos, CLIP_FACTOR * meanNanos);
      }
      meanNanos += Math.max(MIN_SMOOTHING, 1.0 / count) * (clippedNanos - meanNanos);
    }
  }
}
