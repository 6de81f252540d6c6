package org.pomelohollow.decision.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects that a target has become slow all at once: most of the latest requests took several times
 * what their routes took before.
 */
final class LatencyJump {
  private static final double JUMP = 4;
  private static final double CLIP = 2;
  private static final int WINDOW = 16;
  private static final int LEAST_SLOW = 12;
  private static final int LEAST_LEARNED = 64;
  private static final double GAIN = 1.0 / 128;

  private final Map<String, Reference> references = new HashMap<>();
  private final boolean[] slow = new boolean[WINDOW];
  private int next;
  private int slowCount;

  /**
   * Adds a measurement.
   *
   * @param route route of the request
   * @param ownNanos its time at the target, in nanoseconds
   * @return whether there is a jump; everything is forgotten then
   */
  boolean add(String route, long ownNanos) {
    Reference r = references.computeIfAbsent(route, k -> new Reference());
    boolean isSlow = r.isExceededBy(ownNanos);
    r.add(ownNanos);
    slowCount += (isSlow ? 1 : 0) - (slow[next] ? 1 : 0);
    slow[next] = isSlow;
    next = (next + 1) % WINDOW;
    if (slowCount < LEAST_SLOW) {
      return false;
    }
    clear();
    return true;
  }

  /** Returns whether a time is far above what a route took before; false while that is unknown. */
  boolean isSlow(String route, long ownNanos) {
    Reference r = references.get(route);
    return r != null && r.isExceededBy(ownNanos);
  }

  void clear() {
    references.clear();
    Arrays.fill(slow, false);
    slowCount = 0;
  }

  private static final class Reference {
    private int count;
    private double meanNanos;

    boolean isExceededBy(long nanos) {
      return count >= LEAST_LEARNED && nanos > JUMP * meanNanos;
    }

    void add(long nanos) {
      count++;
      double n = nanos;
      if (count > LEAST_LEARNED) {
        n = Math.min(n, CLIP * meanNanos);
      }
      meanNanos += Math.max(GAIN, 1.0 / count) * (n - meanNanos);
    }
  }
}
