package org.pomelohollow.decision.rollout;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.document.RolloutOrder;
import org.pomelohollow.model.MemberId;

/**
 * Evaluation of one order at one evaluator: judges the new version, sets its share, and decides
 * when the order is completed or rolled back.
 */
final class RolloutEvaluator {
  /** Time before the limit at which an order that is not completed is rolled back. */
  private static final long FINAL_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Time for which all requests go to the new version before it counts as sole. */
  private static final long SETTLED_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Time for which old targets must be idle before the platform may stop them. */
  private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time after which the canary moves to other targets. */
  private static final long ROTATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final int MAX_NEEDED = 100;
  private static final int MIN_NEEDED = 6;
  private static final int MAX_NEEDED_IN_STEP = 40;

  /** Part of the responses that a share lets expect from which a judgement is possible. */
  private static final double NEEDED_PART = 0.5;

  /** Part of the old targets' greatest limit under which many of them have been lost. */
  private static final double FEW_OLD_PART = 0.5;

  private static final double SLOT_RESERVE = 1.1;

  /** Part of the old targets' limit that is in use when they are overloaded. */
  private static final double OVERLOAD_PART = 0.9;

  private static final double NANOS_PER_SECOND = 1e9;

  private final RolloutOrder order;
  private final ExposureBudget budget;
  private final Evidence evidence = new Evidence();
  private final Judge judge;
  private final RolloutSteps steps = new RolloutSteps();
  private Optional<Long> canaryStartNanos = Optional.empty();
  private long seenAtCanaryStart;
  private int rotation;
  private long rotatedNanos;
  private int avoidedCount;
  private int greatestOldLimit;
  private long oldResponses;

  /** Responses of the new version at the last evaluation. */
  private long responses;

  private Optional<Long> idleSinceNanos = Optional.empty();

  /** Whether the order was found completed; it stays so while all requests go to the version. */
  private boolean completed;

  RolloutEvaluator(RolloutOrder order, RolloutSettings settings) {
    this.order = order;
    this.budget = new ExposureBudget(settings);
    this.judge = new Judge(evidence, this::isNew);
  }

  /** Adds the totals of a target. */
  void add(MemberId from, RolloutReport r, long nowNanos) {
    evidence.add(from, r, nowNanos);
  }

  /** Continues from what another evaluator has announced. */
  void adopt(RolloutAnnouncement a, long nowNanos) {
    steps.adopt(a.step(), responses, nowNanos);
    rotation = Math.max(rotation, a.rotation());
  }

  /** Starts to set the share in place of the evaluator that did so before. */
  void takeOver(long nowNanos) {
    steps.takeOver(nowNanos);
    completed = false;
  }

  /**
   * Evaluates the order. An evaluator that does not set the share only looks for a bad version:
   * were its steps to advance as well, it would skip the announcement of some at its take-over.
   *
   * @param first whether this evaluator sets the share in force
   * @param view what the daemon knows of the members
   * @param elapsedNanos time since the order, in nanoseconds
   * @param nowNanos current monotonic time, in nanoseconds
   * @return share in force, and the end of the order if it is due
   */
  Decision evaluate(boolean first, MemberView view, long elapsedNanos, long nowNanos) {
    VersionComparison comparison = new VersionComparison(evidence.spans(this::isOld, nowNanos));
    VersionComparison.Judgement j = judge.judge(comparison, nowNanos);
    responses = j.responses();
    Use use = use(j, elapsedNanos, nowNanos);
    if (j.bad()) {
      return end(RolloutState.ROLLED_BACK, j.reason(), use);
    }
    trackOldTargets(nowNanos);
    boolean present = !evidence.freshTargets(this::isNew, nowNanos).isEmpty();
    if (present && canaryStartNanos.isEmpty()) {
      canaryStartNanos = Optional.of(elapsedNanos);
      seenAtCanaryStart = use.budgetUse().seen();
      rotatedNanos = nowNanos;
    }
    RolloutSteps.Situation s = situation(view, comparison, use, nowNanos);
    if (!first) {
      return new Decision(
          announcement(0, s.goodSoFar(), elapsedNanos), Optional.empty(), false, "");
    }
    steps.advance(s, nowNanos);
    completed = steps.step() == RolloutStep.ALL && (completed || isCompleted(view, s, nowNanos));
    if (completed) {
      return end(RolloutState.COMPLETED, "", use);
    }
    if (isTimeUp(elapsedNanos) && view.hasMajority()) {
      String what = steps.step() == RolloutStep.ALL ? "old targets not idle" : "not judged good";
      String why = what + " in time, " + j.responses() + " responses";
      return end(RolloutState.ROLLED_BACK, present ? why : "no targets of the version", use);
    }
    rotate(nowNanos);
    double share = present ? share(use, elapsedNanos) : 0;
    return new Decision(
        announcement(share, s.goodSoFar(), elapsedNanos), Optional.empty(), false, "");
  }

  /** Returns the judgement and the counts for operators. */
  String describe(long nowNanos) {
    VersionComparison c = new VersionComparison(evidence.spans(this::isOld, nowNanos));
    Evidence.Spans fresh = evidence.spans(this::isNew, nowNanos);
    return steps.step() + ", new " + c.judge(fresh) + ", old " + c.judge(oldSpans(nowNanos));
  }

  private Evidence.Spans oldSpans(long nowNanos) {
    return evidence.spans(this::isOld, nowNanos);
  }

  private Decision end(RolloutState state, String reason, Use use) {
    String counts = use.exposed() + " of " + use.seen() + " requests were exposed";
    String text = reason.isEmpty() ? counts : reason + "; " + counts;
    double share = state == RolloutState.COMPLETED ? 1 : 0;
    RolloutAnnouncement a = announcement(share, share > 0, use.budgetUse().elapsedNanos());
    return new Decision(a, Optional.of(state), use.judgement().bad(), text);
  }

  private RolloutAnnouncement announcement(double share, boolean goodSoFar, long elapsedNanos) {
    return new RolloutAnnouncement(
        order.service(),
        order.id(),
        steps.step(),
        share,
        rotation,
        List.copyOf(judge.avoidedHosts()),
        goodSoFar,
        TimeUnit.NANOSECONDS.toMillis(elapsedNanos));
  }

  private double share(Use use, long elapsedNanos) {
    if (steps.step().isSwitch()) {
      return steps.step().share();
    }
    return budget.allowsCanary(use.seen(), use.exposed()) && !isTimeUp(elapsedNanos)
        ? canaryShare(use.seen(), elapsedNanos)
        : 0;
  }

  private double canaryShare(long seen, long elapsedNanos) {
    return budget.canaryShare(seen, elapsedNanos, RolloutSteps.canaryNanos(order.durationNanos()));
  }

  private RolloutSteps.Situation situation(
      MemberView view, VersionComparison comparison, Use use, long nowNanos) {
    int oldLimit = evidence.limit(this::isOld, nowNanos);
    greatestOldLimit = Math.max(greatestOldLimit, oldLimit);
    long elapsed = use.budgetUse().elapsedNanos();
    long left = Math.max(0, order.durationNanos() - elapsed);
    return new RolloutSteps.Situation(
        elapsed,
        order.durationNanos(),
        canaryStartNanos.orElse(elapsed),
        use.judgement(),
        needed(use, elapsed),
        neededInStep(use, elapsed),
        evidence.limit(this::isNew, nowNanos),
        demand(nowNanos),
        comparison.slowNanos(),
        comparison.longestNanos(),
        view.hasMajority(),
        budget.allowsStep(
            use.budgetUse(), RolloutStep.QUARTER.share(), RolloutSteps.MAX_QUARTER_NANOS, left),
        view.oldTargets().isEmpty(),
        oldLimit < FEW_OLD_PART * greatestOldLimit);
  }

  /**
   * Returns the slots that the new version needs for all requests: those in flight with a reserve,
   * but no more than the old version had, which is overloaded then.
   */
  private double demand(long nowNanos) {
    return Math.min(
        SLOT_RESERVE * evidence.inFlight(t -> true, nowNanos), OVERLOAD_PART * greatestOldLimit);
  }

  private long needed(Use use, long elapsedNanos) {
    double offered = canaryShare(use.seen(), elapsedNanos) * (use.seen() - seenAtCanaryStart);
    return Math.min(MAX_NEEDED, Math.max(MIN_NEEDED, (long) (NEEDED_PART * offered)));
  }

  private static long neededInStep(Use use, long elapsedNanos) {
    double rate = use.seen() * NANOS_PER_SECOND / Math.max(1, elapsedNanos);
    double offered =
        RolloutStep.QUARTER.share() * rate * RolloutSteps.MIN_QUARTER_NANOS / NANOS_PER_SECOND;
    return Math.min(MAX_NEEDED_IN_STEP, (long) (NEEDED_PART * offered));
  }

  private Use use(VersionComparison.Judgement j, long elapsedNanos, long nowNanos) {
    long exposed =
        evidence.spans(this::isNew, nowNanos).all().responses()
            + evidence.inFlight(this::isNew, nowNanos);
    long old =
        evidence.spans(this::isOld, nowNanos).all().responses()
            + evidence.inFlight(this::isOld, nowNanos);
    return new Use(j, new ExposureBudget.Use(exposed + old, exposed, elapsedNanos));
  }

  /** Moves the canary to other targets after a while, and at once if one is to be avoided. */
  private void rotate(long nowNanos) {
    boolean newlyAvoided = judge.avoidedHosts().size() != avoidedCount;
    boolean due = !steps.step().isSwitch() && nowNanos - rotatedNanos >= ROTATION_NANOS;
    if (newlyAvoided || due) {
      avoidedCount = judge.avoidedHosts().size();
      rotation++;
      rotatedNanos = nowNanos;
    }
  }

  /** Tracks since when nothing runs or ends at the old targets. */
  private void trackOldTargets(long nowNanos) {
    long ended = evidence.spans(this::isOld, nowNanos).all().responses();
    boolean busy = ended != oldResponses || evidence.inFlight(this::isOld, nowNanos) > 0;
    if (busy || idleSinceNanos.isEmpty()) {
      oldResponses = ended;
      idleSinceNanos = Optional.of(nowNanos);
    }
  }

  /**
   * Returns whether the old targets may be stopped. That the time is up is no reason: the requests
   * that run there would be lost, and some may not be repeated. A roll-back loses none.
   */
  private boolean isCompleted(MemberView view, RolloutSteps.Situation s, long nowNanos) {
    if (steps.step() != RolloutStep.ALL
        || steps.lastedNanos(nowNanos) < SETTLED_NANOS
        || s.judgement().suspicious()
        || !view.hasMajority()) {
      return false;
    }
    List<MemberId> fresh =
        evidence.freshTargets(this::isOld, nowNanos).stream().map(Evidence.Target::member).toList();
    return nowNanos - idleSinceNanos.orElse(nowNanos) >= IDLE_NANOS
        && fresh.containsAll(view.oldTargets());
  }

  private boolean isTimeUp(long elapsedNanos) {
    return elapsedNanos >= order.durationNanos() - FINAL_MARGIN_NANOS;
  }

  private boolean isNew(Evidence.Target t) {
    return t.version().equals(order.version());
  }

  private boolean isOld(Evidence.Target t) {
    return !isNew(t);
  }

  /**
   * What a daemon knows of the members.
   *
   * @param oldTargets live members with a target of another version, also if it drains
   * @param hasMajority whether most of the members that were once live are
   */
  record MemberView(List<MemberId> oldTargets, boolean hasMajority) {
    /** Copies the list. */
    MemberView {
      oldTargets = List.copyOf(oldTargets);
    }
  }

  /**
   * Decision of an evaluator.
   *
   * @param announcement share in force
   * @param end final state if it is due
   * @param bad whether the version is bad
   * @param reason reason of the end, for operators
   */
  record Decision(
      RolloutAnnouncement announcement, Optional<RolloutState> end, boolean bad, String reason) {}

  private record Use(VersionComparison.Judgement judgement, ExposureBudget.Use budgetUse) {
    long seen() {
      return budgetUse.seen();
    }

    long exposed() {
      return budgetUse.exposed();
    }
  }
}
