package org.pomelohollow.decision.admission;

/**
 * Limit of the requests in flight at a target in cold start. It starts at the cold-start slots of
 * the document and is raised in stages, each of which takes a number of completed requests; time
 * alone never raises it.
 */
final class ColdStartLimit {
  /**
   * Factor by which a stage raises the limit, and by which a shed request or a timeout lowers it.
   */
  private static final double GROWTH_FACTOR = 1.5;

  /** Completed requests in a stage, per request in flight that the limit allows. */
  private static final int STAGE_REQUESTS_PER_SLOT = 4;

  private static final int MIN_STAGE_REQUESTS = 16;

  /** Ratio of the mean self times of two stages above which the last raise is undone. */
  private static final double MAX_LATENCY_RATIO = 1.5;

  /** Undone raises after which the next one ends the cold start. */
  private static final int MAX_UNDONE_RAISES = 5;

  private int coldStartSlots = 1;
  private int ceiling = 1;
  private double rampLimit = 1;
  private boolean cold = true;
  private boolean announcedCold;
  private int epoch;
  private int stageCount;
  private double stageSelfTimeNanos;
  private double previousMeanNanos;
  private int undoneRaises;
  private boolean raised;

  /** Returns whether the target is in cold start. */
  boolean isCold() {
    return cold;
  }

  /** Returns the highest number of requests in flight. */
  int limit() {
    return cold ? rampLimit() : ceiling;
  }

  /** Returns the limit that the current or the last cold start has reached. */
  int rampLimit() {
    return Math.min(ceiling, raised ? (int) rampLimit : coldStartSlots);
  }

  /**
   * Returns the number of cold starts so far. A request keeps the epoch in which it started, so
   * that requests started before the last cold start can be told apart.
   */
  int epoch() {
    return epoch;
  }

  void configure(int coldStartSlots, int ceiling) {
    this.coldStartSlots = Math.min(coldStartSlots, ceiling);
    this.ceiling = ceiling;
    if (raised && rampLimit >= ceiling) {
      cold = false;
    }
  }

  /** Starts a cold start at the lowest limit. Requests that started before no longer count. */
  void restart() {
    epoch++;
    cold = true;
    raised = false;
    previousMeanNanos = 0;
    undoneRaises = 0;
    clearStage();
  }

  /** Keeps the lowest limit for as long as the target announces that it is cold. */
  void setAnnouncedCold(boolean announced) {
    if (announced && !announcedCold) {
      restart();
    }
    announcedCold = announced;
  }

  /**
   * Counts a completed request towards the current stage, or lowers the limit if the request was
   * shed or timed out.
   *
   * @param startEpoch epoch in which the request started
   * @param completion how the request ended
   * @param selfTimeNanos self time of the request at the target, in nanoseconds
   * @return whether this request has ended the cold start
   */
  boolean recordCompletion(int startEpoch, Completion completion, long selfTimeNanos) {
    if (!cold || announcedCold || startEpoch != epoch) {
      return false;
    }
    if (completion == Completion.SHED || completion == Completion.TIMED_OUT) {
      rampLimit = Math.max(coldStartSlots, rampLimit / GROWTH_FACTOR);
      clearStage();
    } else if (completion == Completion.RESPONDED) {
      stageCount++;
      stageSelfTimeNanos += selfTimeNanos;
      endStage();
    }
    return !cold;
  }

  private void endStage() {
    if (stageCount < stageRequests()) {
      return;
    }
    double meanNanos = stageSelfTimeNanos / stageCount;
    clearStage();
    if (previousMeanNanos > 0 && meanNanos > MAX_LATENCY_RATIO * previousMeanNanos) {
      undoRaise();
      return;
    }
    previousMeanNanos = meanNanos;
    double current = raised ? rampLimit : coldStartSlots;
    rampLimit = Math.max(current + 1, current * GROWTH_FACTOR);
    raised = true;
    cold = rampLimit < ceiling;
  }

  private double stageRequests() {
    double requests =
        Math.max(
            MIN_STAGE_REQUESTS, STAGE_REQUESTS_PER_SLOT * (raised ? rampLimit : coldStartSlots));
    return requests * (1 << undoneRaises);
  }

  /** Undoes a raise that made the target slower; the next stage needs twice the requests. */
  private void undoRaise() {
    rampLimit = Math.max(coldStartSlots, rampLimit / GROWTH_FACTOR);
    previousMeanNanos = 0;
    undoneRaises++;
    cold = undoneRaises <= MAX_UNDONE_RAISES;
  }

  private void clearStage() {
    stageCount = 0;
    stageSelfTimeNanos = 0;
  }
}
