package org.pomelohollow.decision.rollout;

/** Steps of a roll-out, in their order. */
public enum RolloutStep {
  /** A small share of the requests goes to few targets. */
  CANARY(0),
  /**
   * The first step of the switch, in which the new version is judged under an old target's load.
   */
  QUARTER(0.25),
  /** Half of the requests. */
  HALF(0.5),
  /** All requests; the old targets finish those that they run. */
  ALL(1);

  private final double share;

  RolloutStep(double share) {
    this.share = share;
  }

  /** Returns the share of the requests, 0 to 1; that of the canary is computed. */
  double share() {
    return share;
  }

  /** Returns whether the switch has begun. */
  boolean isSwitch() {
    return this != CANARY;
  }

  RolloutStep next() {
    return switch (this) {
      case CANARY -> QUARTER;
      case QUARTER -> HALF;
      case HALF, ALL -> ALL;
    };
  }

  RolloutStep previous() {
    return switch (this) {
      case CANARY, QUARTER -> CANARY;
      case HALF -> QUARTER;
      case ALL -> HALF;
    };
  }
}
