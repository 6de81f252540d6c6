package org.pomelohollow.decision.admission;

/** Uses all that a target announces: for targets that say truly how much they run at once. */
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
    // Nothing was measured.
  }

  @Override
  public void ended(Sample sample, long nowNanos) {
    // Nothing is learnt.
  }
}
