package org.pomelohollow.decision.admission;

/**
 * Keeps the queueing delay, the latency above its recent minimum, near a target delay.
 *
 * <p>The minimum over an interval as the measure of a standing queue is from CoDel (Nichols and
 * Jacobson, "Controlling Queue Delay", 2012); the decrease in proportion to the excess delay is the
 * rule by which Breakwater (Cho et al., OSDI 2020) adapts its credits.
 */
public final class DelayTargetLimit implements LimitAlgorithm {
  private static final long WINDOW_NANOS = 100_000_000L;

  /** Longest time over which the minimum of the latency is kept. */
  private static final long BASE_NANOS = 10_000_000_000L;

  /** Target delay, as a share of the minimum latency. */
  private static final double TARGET_DELAY_SHARE = 0.5;

  private static final double GAIN = 0.1;
  private static final double MIN_DECREASE_FACTOR = 0.5;

  private int ceiling = 1;
  private double limit = 1;
  private double baseNanos;
  private double nextBaseNanos;
  private long baseUntilNanos;
  private long windowEndNanos;
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
    baseNanos = 0;
    nextBaseNanos = 0;
    windowCount = 0;
    windowSelfTimeNanos = 0;
  }

  @Override
  public void onSample(Sample s, long nowNanos) {
    if (s.completion() != Completion.RESPONDED && s.completion() != Completion.TIMED_OUT) {
      return;
    }
    windowSelfTimeNanos += s.selfTimeNanos();
    windowCount++;
    if (nowNanos >= windowEndNanos) {
      adapt(windowSelfTimeNanos / windowCount, s.atLimit(), nowNanos);
      windowSelfTimeNanos = 0;
      windowCount = 0;
      windowEndNanos = nowNanos + WINDOW_NANOS;
    }
  }

  private void adapt(double meanNanos, boolean atLimit, long nowNanos) {
    if (nowNanos >= baseUntilNanos) {
      baseNanos = nextBaseNanos == 0 ? meanNanos : nextBaseNanos;
      nextBaseNanos = meanNanos;
      baseUntilNanos = nowNanos + BASE_NANOS / 2;
    }
    nextBaseNanos = Math.min(nextBaseNanos, meanNanos);
    baseNanos = Math.min(baseNanos, meanNanos);
    double targetDelayNanos = TARGET_DELAY_SHARE * baseNanos;
    double excess = (meanNanos - baseNanos - targetDelayNanos) / targetDelayNanos;
    if (excess > 0) {
      limit = Math.max(1, limit * Math.max(MIN_DECREASE_FACTOR, 1 - GAIN * excess));
    } else if (atLimit) {
      limit = Math.min(ceiling, limit + Math.max(1, GAIN * limit));
    }
  }
}
