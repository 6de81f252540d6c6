package org.pomelohollow.decision.admission;

/**
 * Adapts the limit by the gradient, the ratio of the long-term to the current latency.
 *
 * <p>The rule is the second gradient algorithm described for Netflix's adaptive concurrency limits,
 * 2018: a tolerance on the ratio, a headroom of the square root of the limit, and exponential
 * smoothing.
 */
public final class GradientLimit implements LimitAlgorithm {
  /** Ratio of the current to the long-term latency from which on the limit is lowered. */
  private static final double TOLERANCE = 1.5;

  private static final double SMOOTHING = 0.2;

  /** Requests over which the long-term latency is averaged. */
  private static final double LONG_TERM_SAMPLES = 600;

  /** Decay of the long-term latency per window while it is above twice the current one. */
  private static final double LONG_TERM_DECAY = 0.95;

  /** Requests whose mean latency is the current latency. */
  private static final int WINDOW_SAMPLES = 20;

  private int ceiling = 1;
  private double limit = 1;
  private double longTermNanos;
  private double windowSelfTimeNanos;
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
    longTermNanos = 0;
    windowSelfTimeNanos = 0;
    windowCount = 0;
  }

  @Override
  public void onSample(Sample s, long nowNanos) {
    if (s.completion() != Completion.RESPONDED && s.completion() != Completion.TIMED_OUT) {
      return;
    }
    windowSelfTimeNanos += s.selfTimeNanos();
    if (++windowCount == WINDOW_SAMPLES) {
      adapt(windowSelfTimeNanos / windowCount, s.inFlight());
      windowSelfTimeNanos = 0;
      windowCount = 0;
    }
  }

  private void adapt(double shortTermNanos, int inFlight) {
    double smoothing = WINDOW_SAMPLES / LONG_TERM_SAMPLES;
    longTermNanos =
        longTermNanos == 0
            ? shortTermNanos
            : longTermNanos + smoothing * (shortTermNanos - longTermNanos);
    if (longTermNanos / shortTermNanos > 2) {
      longTermNanos *= LONG_TERM_DECAY;
    }
    if (inFlight < limit / 2) {
      return;
    }
    double gradient = Math.max(0.5, Math.min(1, TOLERANCE * longTermNanos / shortTermNanos));
    double desired = limit * gradient + Math.sqrt(limit);
    limit = Math.max(1, Math.min(ceiling, limit * (1 - SMOOTHING) + desired * SMOOTHING));
  }
}
