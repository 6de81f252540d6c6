package org.pomelohollow.decision.rollout;

import java.util.concurrent.TimeUnit;

/** Steps of one order over time: when the next one may be taken, and when one must be undone. */
final class RolloutSteps {
  /** Part of the duration before which the switch does not begin. */
  private static final double CANARY_PART = 0.58;

  /** Shortest canary, if there is time: some versions turn bad only seconds after their start. */
  private static final long MIN_CANARY_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

  /** Duration below which the times of the switch shrink with it; else it could not be done. */
  private static final double USUAL_DURATION_NANOS = 10e9;

  /** Time that old targets need to be found idle, with requests of up to 1 s. */
  private static final long END_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  /** Longest time of a request for which {@link #END_NANOS} is enough. */
  private static final long SHORT_REQUEST_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Part of the duration before which the switch does not begin, also with long requests. */
  private static final double SHORTEST_CANARY_PART = 0.42;

  /** Time before the end phase from which the switch doesn't wait for a longer canary. */
  private static final long SWITCH_DUE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);

  /** Time before the end phase after which the switch can't be finished any more. */
  private static final long TOO_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

  /** Time before the end phase from which the first step lasts no longer than needed. */
  private static final long HURRY_NANOS = TimeUnit.MILLISECONDS.toNanos(3_200);

  static final long MIN_QUARTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  static final long MAX_QUARTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  /** Longest time that the first step waits for responses on every route. */
  private static final long LONGEST_QUARTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_900);

  /** Time before the end phase from which the first step does not wait for routes. */
  private static final long LAST_HALF_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** Responses on a route from which a version shows that is bad there only. */
  private static final int MIN_ON_ROUTE = 16;

  private static final long HALF_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Time until a slow request of a step is known to the evaluator, besides its slowness. */
  private static final long REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private RolloutStep step = RolloutStep.CANARY;
  private long stepSinceNanos;
  private long responsesAtStep;

  RolloutStep step() {
    return step;
  }

  /** Returns the time since the present step began, in nanoseconds. */
  long lastedNanos(long nowNanos) {
    return nowNanos - stepSinceNanos;
  }

  /**
   * Continues from a step that another evaluator has announced.
   *
   * @param responses responses of the new version that this evaluator knows of
   */
  void adopt(RolloutStep s, long responses, long nowNanos) {
    if (s != step) {
      step = s;
      stepSinceNanos = nowNanos;
      responsesAtStep = responses;
    }
  }

  /**
   * Starts the time of the last step anew: requests count as settled only while this evaluator
   * announces it. The other steps were in force since they were adopted; to start them anew would
   * make an order miss its limit when its evaluator is lost in the step 0.25.
   */
  void takeOver(long nowNanos) {
    if (step == RolloutStep.ALL) {
      stepSinceNanos = nowNanos;
    }
  }

  /** Returns the length of the canary for a duration, both in nanoseconds. */
  static long canaryNanos(long durationNanos) {
    return (long) (CANARY_PART * durationNanos);
  }

  /** Takes the next step if it is due, or an earlier one if there are not enough slots. */
  void advance(Situation s, long nowNanos) {
    if (step.isSwitch() && !hasSlots(s, step)) {
      RolloutStep smaller = step;
      while (smaller.isSwitch() && !hasSlots(s, smaller)) {
        smaller = smaller.previous();
      }
      enter(smaller, s, nowNanos);
    } else if (isDoubtful(s)) {
      enter(RolloutStep.QUARTER, s, nowNanos);
    } else if (s.withoutOldTargets() && s.goodSoFar()) {
      enter(RolloutStep.ALL, s, nowNanos);
    } else if (s.mayAdvance() && isDue(s, nowNanos) && hasSlots(s, step.next())) {
      enter(step.next(), s, nowNanos);
    }
  }

  /**
   * Returns whether a version got most requests and has too many bad responses meanwhile, though
   * not enough for a roll-back: at services with few requests the proof may take a second.
   */
  private boolean isDoubtful(Situation s) {
    boolean most = step == RolloutStep.HALF || step == RolloutStep.ALL;
    return most && s.judgement().suspicious() && !s.withoutOldTargets();
  }

  private void enter(RolloutStep s, Situation in, long nowNanos) {
    if (s != step) {
      step = s;
      stepSinceNanos = nowNanos;
      responsesAtStep = in.judgement().responses();
    }
  }

  private boolean isDue(Situation s, long nowNanos) {
    boolean good = !s.judgement().bad() && !s.judgement().suspicious();
    return good
        && switch (step) {
          case CANARY -> isSwitchDue(s);
          case QUARTER -> isQuarterDone(s, nowNanos);
          case HALF -> lastedNanos(nowNanos) >= scale(s) * HALF_NANOS;
          case ALL -> false;
        };
  }

  /** Returns whether slow responses of this step have shown, and all routes have responses. */
  private boolean isQuarterDone(Situation s, long nowNanos) {
    long lasted = lastedNanos(nowNanos);
    boolean hurry = s.elapsedNanos() > before(s, LAST_HALF_NANOS);
    boolean routesJudged =
        s.judgement().leastOnRoute() >= MIN_ON_ROUTE || lasted >= LONGEST_QUARTER_NANOS || hurry;
    return lasted >= quarterNanos(s)
        && routesJudged
        && s.judgement().responses() - responsesAtStep >= s.neededInStep();
  }

  private static boolean isSwitchDue(Situation s) {
    if (!s.isJudgedGood()) {
      return false;
    }
    if (s.fewOldTargets()) {
      return true; // Callers are refused meanwhile.
    }
    long afterCanary = s.canaryStartNanos() + MIN_CANARY_NANOS;
    // Requests that old targets have begun must end before the limit.
    long longer = Math.max(0, s.longestNanos() - SHORT_REQUEST_NANOS);
    long due =
        Math.max(
            (long) (SHORTEST_CANARY_PART * s.durationNanos()),
            before(s, SWITCH_DUE_NANOS) - longer);
    long earliest = Math.min(due, canaryNanos(s.durationNanos()));
    return s.elapsedNanos() >= Math.max(earliest, Math.min(afterCanary, due))
        && s.elapsedNanos() <= before(s, TOO_LATE_NANOS)
        && s.withinBudget();
  }

  /** Returns the length of the first step: slow responses in it must have shown by its end. */
  static long quarterNanos(Situation s) {
    long judged = REPORT_DELAY_NANOS + s.slowNanos();
    boolean hurry = s.elapsedNanos() > before(s, HURRY_NANOS);
    long length =
        hurry
            ? MIN_QUARTER_NANOS
            : Math.max(MIN_QUARTER_NANOS, Math.min(MAX_QUARTER_NANOS, judged));
    return (long) (scale(s) * length);
  }

  /** Returns a time before the end phase, counted from the order, in nanoseconds. */
  private static long before(Situation s, long nanos) {
    return s.durationNanos() - END_NANOS - (long) (scale(s) * nanos);
  }

  private static double scale(Situation s) {
    return Math.min(1, s.durationNanos() / USUAL_DURATION_NANOS);
  }

  private static boolean hasSlots(Situation s, RolloutStep to) {
    return s.newLimit() >= to.share() * s.demand();
  }

  /**
   * What an evaluator knows at one moment.
   *
   * @param elapsedNanos time since the order, in nanoseconds
   * @param durationNanos duration of the order, in nanoseconds
   * @param canaryStartNanos time from the order to the first report of a new target, in nanoseconds
   * @param judgement judgement of the new version
   * @param needed responses that a judgement needs
   * @param neededInStep responses that the first step of the switch needs
   * @param newLimit limit of the requests in flight at the new targets
   * @param demand slots that all requests of the service need
   * @param slowNanos time after which a response is slow, in nanoseconds
   * @param longestNanos longest usual time of a request at the old version, in nanoseconds
   * @param mayAdvance whether this evaluator sees enough of the members
   * @param withinBudget whether the first step of the switch stays within the bound on exposure
   * @param withoutOldTargets whether no old target is left
   * @param fewOldTargets whether many old targets have been lost
   */
  record Situation(
      long elapsedNanos,
      long durationNanos,
      long canaryStartNanos,
      VersionComparison.Judgement judgement,
      long needed,
      long neededInStep,
      int newLimit,
      double demand,
      long slowNanos,
      long longestNanos,
      boolean mayAdvance,
      boolean withinBudget,
      boolean withoutOldTargets,
      boolean fewOldTargets) {
    /** Fewest responses after which a version may serve if there is no other. */
    private static final int MIN_RESPONSES = 12;

    boolean isJudgedGood() {
      return isGood(needed);
    }

    boolean goodSoFar() {
      return isGood(Math.min(needed, MIN_RESPONSES));
    }

    private boolean isGood(long count) {
      return !judgement.bad()
          && !judgement.suspicious()
          && judgement.responses() >= count
          && judgement.timed() * 2 >= count;
    }
  }
}
