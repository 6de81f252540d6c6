package org.pomelohollow.decision.admission;

/**
 * Limit that is always the ceiling, for targets that announce accurately how many requests they run
 * at once.
 */
public final class FixedLimit implements LimitAlgorithm {
  private int ceiling = 1;

  @Override
  public int limit() {
    return ceiling;
  }

  @Override
  public void setCeiling(int ceiling) {
    this.ceiling = ceiling;
  }

  @Override
  public void reset(int start) {
    // The limit is always the ceiling.
  }

  @Override
  public void onSample(Sample sample, long nowNanos) {
    // The limit does not depend on measurements.
  }
}
