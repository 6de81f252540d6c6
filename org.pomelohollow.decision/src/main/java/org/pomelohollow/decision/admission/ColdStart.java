package org.pomelohollow.decision.admission;

/**
 * Bounds requests in flight at a target in cold start. The bound starts at what the document allows
 * and grows with completed work; time alone never raises it.
 */
final class ColdStart {
  private static final double GROWTH = 1.5;
  private static final int STAGE_ROUNDS = 4;
  private static final int LEAST_STAGE = 16;
  private static final double LATENCY_RISE = 1.5;
  private static final int MOST_STEPS_BACK = 5;

  private int coldSlots = 1;
  private int ceiling = 1;
  private double bound = 1;
  private boolean cold = true;
  private boolean announcedCold;
  private int epoch;
  private int stageCount;
  private double stageNanos;
  private double lastMeanNanos;
  private int stepsBack;
  private boolean grown;

  /** Returns whether the bound is below the ceiling. */
  boolean isCold() {
    return cold;
  }

  /** Returns the most requests in flight. */
  int bound() {
    return cold ? reached() : ceiling;
  }

  /** Returns the bound that the last cold start has reached. */
  int reached() {
    return Math.min(ceiling, grown ? (int) bound : coldSlots);
  }

  /** Returns the number of the present run of the target; a request keeps that of its start. */
  int epoch() {
    return epoch;
  }

  void configure(int coldSlots, int ceiling) {
    this.coldSlots = Math.min(coldSlots, ceiling);
    this.ceiling = ceiling;
    if (grown && bound >= ceiling) {
      cold = false;
    }
  }

  /** Goes back to the first bound. Work that started before counts for nothing. */
  void fall() {
    epoch++;
    cold = true;
    grown = false;
    lastMeanNanos = 0;
    stepsBack = 0;
    clearStage();
  }

  /** Holds the first bound for as long as the target says that it is cold. */
  void setAnnouncedCold(boolean announced) {
    if (announced && !announcedCold) {
      fall();
    }
    announcedCold = announced;
  }

  /**
   * Learns from a request that ended.
   *
   * @param startEpoch epoch when it started
   * @param completion how it ended
   * @param ownNanos its time at the target, in nanoseconds
   * @return whether the cold start has ended with it
   */
  boolean ended(int startEpoch, Completion completion, long ownNanos) {
    if (!cold || announcedCold || startEpoch != epoch) {
      return false;
    }
    if (completion == Completion.SHED || completion == Completion.TIMED_OUT) {
      bound = Math.max(coldSlots, bound / GROWTH);
      clearStage();
    } else if (completion == Completion.ANSWERED) {
      stageCount++;
      stageNanos += ownNanos;
      endStage();
    }
    return !cold;
  }

  private void endStage() {
    if (stageCount < stageLength()) {
      return;
    }
    double mean = stageNanos / stageCount;
    clearStage();
    if (lastMeanNanos > 0 && mean > LATENCY_RISE * lastMeanNanos) {
      stepBack();
      return;
    }
    lastMeanNanos = mean;
    double b = grown ? bound : coldSlots;
    bound = Math.max(b + 1, b * GROWTH);
    grown = true;
    cold = bound < ceiling;
  }

  private double stageLength() {
    double rounds = Math.max(LEAST_STAGE, STAGE_ROUNDS * (grown ? bound : coldSlots));
    return rounds * (1 << stepsBack);
  }

  /** Takes back a step that made the target slower; the next one needs twice the work. */
  private void stepBack() {
    bound = Math.max(coldSlots, bound / GROWTH);
    lastMeanNanos = 0;
    stepsBack++;
    cold = stepsBack <= MOST_STEPS_BACK;
  }

  private void clearStage() {
    stageCount = 0;
    stageNanos = 0;
  }
}
