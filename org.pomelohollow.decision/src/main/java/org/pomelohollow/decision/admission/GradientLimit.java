package org.pomelohollow.decision.admission;

/**
 * Follows the ratio of the long-term to the present latency.
 *
 * <p>The rule is the second gradient algorithm described for Netflix's adaptive concurrency limits,
 * 2018: a tolerance on the ratio, a headroom of the square root of the limit, and exponential
 * smoothing.
 */
public final class GradientLimit implements LimitAlgorithm {
  private static final double TOLERANCE = 1.5;
  private static final double SMOOTHING = 0.2;
  private static final double LONG_TERM_SAMPLES = 600;
  private static final double LONG_TERM_DECAY = 0.95;
  private static final int WINDOW_SAMPLES = 20;

  private int ceiling = 1;
  private double limit = 1;
  private double longNanos;
  private double windowNanos;
  private int windowCount;

  @Override
  public int limit() {
    return Math.max(1, (int) Math.min(limit, ceiling));
  }

  @Override
  public void setCeiling(int ceiling) {
    boolean wasAtCeiling = limit >= this.ceiling;
    this.ceiling = ceiling;
    limit = wasAtCeiling ? ceiling : Math.min(limit, ceiling);
  }

  @Override
  public void reset(int start) {
    limit = start;
    longNanos = 0;
    windowNanos = 0;
    windowCount = 0;
  }

  @Override
  public void ended(Sample s, long nowNanos) {
    if (s.completion() != Completion.ANSWERED && s.completion() != Completion.TIMED_OUT) {
      return;
    }
    windowNanos += s.ownNanos();
    if (++windowCount == WINDOW_SAMPLES) {
      adapt(windowNanos / windowCount, s.inFlight());
      windowNanos = 0;
      windowCount = 0;
    }
  }

  private void adapt(double shortNanos, int inFlight) {
    double weight = WINDOW_SAMPLES / LONG_TERM_SAMPLES;
    longNanos = longNanos == 0 ? shortNanos : longNanos + weight * (shortNanos - longNanos);
    if (longNanos / shortNanos > 2) {
      longNanos *= LONG_TERM_DECAY;
    }
    if (inFlight < limit / 2) {
      return;
    }
    double gradient = Math.max(0.5, Math.min(1, TOLERANCE * longNanos / shortNanos));
    double next = limit * gradient + Math.sqrt(limit);
    limit = Math.max(1, Math.min(ceiling, limit * (1 - SMOOTHING) + next * SMOOTHING));
  }
}
