package org.pomelohollow.decision.admission;

/**
 * Keeps the delay above the lowest recent latency near a target.
 *
 * <p>The minimum over an interval as the sign of a standing queue is from CoDel (Nichols and
 * Jacobson, "Controlling Queue Delay", 2012); the decrease in proportion to the excess is the rule
 * by which Breakwater (Cho et al., OSDI 2020) adapts its credits.
 */
public final class DelayTargetLimit implements LimitAlgorithm {
  private static final long WINDOW_NANOS = 100_000_000L;
  private static final long BASE_NANOS = 10_000_000_000L;
  private static final double TARGET_SHARE = 0.5;
  private static final double GAIN = 0.1;
  private static final double MOST_DECREASE = 0.5;

  private int ceiling = 1;
  private double limit = 1;
  private double base;
  private double nextBase;
  private long baseUntilNanos;
  private long windowUntilNanos;
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
    base = 0;
    nextBase = 0;
    windowCount = 0;
    windowNanos = 0;
  }

  @Override
  public void ended(Sample s, long nowNanos) {
    if (s.completion() != Completion.ANSWERED && s.completion() != Completion.TIMED_OUT) {
      return;
    }
    windowNanos += s.ownNanos();
    windowCount++;
    if (nowNanos >= windowUntilNanos) {
      adapt(windowNanos / windowCount, s.binding(), nowNanos);
      windowNanos = 0;
      windowCount = 0;
      windowUntilNanos = nowNanos + WINDOW_NANOS;
    }
  }

  private void adapt(double mean, boolean binding, long nowNanos) {
    if (nowNanos >= baseUntilNanos) {
      base = nextBase == 0 ? mean : nextBase;
      nextBase = mean;
      baseUntilNanos = nowNanos + BASE_NANOS / 2;
    }
    nextBase = Math.min(nextBase, mean);
    base = Math.min(base, mean);
    double target = TARGET_SHARE * base;
    double excess = (mean - base - target) / target;
    if (excess > 0) {
      limit = Math.max(1, limit * Math.max(MOST_DECREASE, 1 - GAIN * excess));
    } else if (binding) {
      limit = Math.min(ceiling, limit + Math.max(1, GAIN * limit));
    }
  }
}
