package org.pomelohollow.decision.admission;

/**
 * Additive increase of the limit while it is reached, and multiplicative decrease when the target
 * sheds load or times out.
 *
 * <p>Published by Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
 * Avoidance in Computer Networks", 1989.
 */
public final class AimdLimit implements LimitAlgorithm {
  private static final double DECREASE_FACTOR = 0.9;

  /** Time between two decreases, so that one congestion event counts once. */
  private static final long DECREASE_INTERVAL_NANOS = 100_000_000L;

  private int ceiling = 1;
  private double limit = 1;
  private long nextDecreaseNanos = Long.MIN_VALUE;

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
  }

  @Override
  public void onSample(Sample s, long nowNanos) {
    if (s.completion() == Completion.SHED || s.completion() == Completion.TIMED_OUT) {
      decrease(nowNanos);
    } else if (s.completion() == Completion.RESPONDED && s.atLimit()) {
      limit = Math.min(ceiling, limit + 1 / limit);
    }
  }

  private void decrease(long nowNanos) {
    if (nowNanos >= nextDecreaseNanos) {
      limit = Math.max(1, limit * DECREASE_FACTOR);
      nextDecreaseNanos = nowNanos + DECREASE_INTERVAL_NANOS;
    }
  }
}
