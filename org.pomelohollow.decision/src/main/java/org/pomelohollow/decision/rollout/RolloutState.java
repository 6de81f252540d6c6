package org.pomelohollow.decision.rollout;

/** State of an order. */
public enum RolloutState {
  /** The new version is being observed or gets more and more traffic. */
  RUNNING,
  /** The new version has all traffic; the platform stops the old targets. */
  COMPLETED,
  /** The new version gets no traffic. */
  ROLLED_BACK;

  /** Returns whether an order keeps this state. */
  public boolean isFinal() {
    return this != RUNNING;
  }
}
