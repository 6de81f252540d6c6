package org.pomelohollow.decision.rollout;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.rollout.RolloutEvaluator.Decision;
import org.pomelohollow.decision.rollout.RolloutEvaluator.MemberView;
import org.pomelohollow.decision.routing.TrafficSplit;
import org.pomelohollow.document.RolloutOrder;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;

/** One order at one daemon: share in force, final state, and this daemon's part in deciding. */
final class ServiceRollout {
  private static final long EVALUATION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long ANNOUNCE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
  private static final long QUERY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Interval between attempts to write to or read from the store what must be known soon. */
  private static final long STORE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Interval between other reads, which are paid for. */
  private static final long REREAD_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Time for which a new evaluator listens to others before it announces a share of its own. */
  private static final long LISTEN_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /**
   * Time without an announcement of a lower rank after which an evaluator sets the share, times its
   * rank. One that is live may be unable to announce: it lacks the order, the state or a link.
   */
  private static final long SILENCE_NANOS = ShareInForce.VALID_NANOS;

  /** Time for which requests at targets of a replaced order may go on, besides an interval. */
  private static final long CARRY_OVER_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time for which a final state is repeated. */
  private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(6);

  private final RolloutOrder order;
  private final MemberId self;
  private final RolloutOutput out;
  private final RolloutEvaluator evaluator;
  private final ShareInForce shareInForce;

  /** Time of the order as far as is known; earlier if another daemon has known it for longer. */
  private long orderedNanos;

  /** Whether this evaluator sets the share in force. */
  private boolean acting;

  /** Whether this daemon sees too few of the members to move on. */
  private boolean isolated;

  private long listeningSinceNanos;
  private long lowerHeardNanos;
  private boolean statusKnown;
  private boolean runningStored;
  private Optional<RolloutState> end = Optional.empty();
  private boolean endStored;
  private long endedNanos;
  private boolean completionDue;
  private Roster ranked;
  private List<MemberId> evaluators = List.of();
  private final Interval evaluation = new Interval(EVALUATION_INTERVAL_NANOS);
  private final Interval announcing = new Interval(ANNOUNCE_INTERVAL_NANOS);
  private final Interval query = new Interval(QUERY_INTERVAL_NANOS);
  private final Interval store = new Interval(STORE_INTERVAL_NANOS);
  private final Interval reread = new Interval(REREAD_INTERVAL_NANOS);

  ServiceRollout(
      RolloutOrder order,
      MemberId self,
      RolloutSettings settings,
      RolloutOutput out,
      long nowNanos) {
    this.order = order;
    this.self = self;
    this.out = out;
    this.evaluator = new RolloutEvaluator(order, settings);
    this.shareInForce = new ShareInForce(order.id());
    this.orderedNanos = nowNanos;
    this.listeningSinceNanos = nowNanos;
    this.lowerHeardNanos = nowNanos;
    this.reread.isDue(nowNanos);
  }

  RolloutOrder order() {
    return order;
  }

  /** Returns the state as far as this daemon knows. */
  RolloutState state() {
    return end.orElse(RolloutState.RUNNING);
  }

  double share(long nowNanos) {
    return end.map(e -> e == RolloutState.COMPLETED ? 1.0 : 0.0)
        .orElseGet(() -> shareInForce.share(nowNanos));
  }

  /** Returns the groups of members that an attempt may go to. */
  TrafficSplit.Groups groups(
      VersionGroups g, boolean retry, RandomGenerator random, long nowNanos) {
    if (end.isPresent()) {
      return end.get() == RolloutState.COMPLETED
          ? new TrafficSplit.Groups(g.fresh().isEmpty() ? g.old() : g.fresh(), List.of(), false)
          : new TrafficSplit.Groups(g.old(), List.of(), false);
    }
    double share = shareInForce.share(nowNanos);
    Optional<RolloutAnnouncement> a = shareInForce.last();
    boolean canary = a.filter(l -> l.step().isSwitch()).isEmpty();
    if (share > 0 && !(retry && canary) && random.nextDouble() < share) {
      return new TrafficSplit.Groups(g.canary(a.orElseThrow()), g.old(), share < 1);
    }
    boolean mayServe = a.filter(RolloutAnnouncement::goodSoFar).isPresent();
    return new TrafficSplit.Groups(g.old(), mayServe ? g.fresh() : List.of(), false);
  }

  /** Returns whether the new version gets all requests. */
  boolean isSettledOnNew() {
    return end.isPresent()
        ? end.get() == RolloutState.COMPLETED
        : shareInForce.last().filter(a -> a.share() >= 1).isPresent();
  }

  void receive(MemberId from, RolloutAnnouncement a, long nowNanos) {
    learnElapsed(a.elapsedMillis(), nowNanos);
    if (end.isEmpty()) {
      statusKnown = true;
      shareInForce.add(from, a, nowNanos);
      if (!from.equals(self)) {
        follow(from, nowNanos);
      }
    }
  }

  /** Adopts the announcement in force, unless this evaluator sets the share and goes first. */
  private void follow(MemberId from, long nowNanos) {
    int rank = evaluators.indexOf(from);
    if (rank >= 0 && rank < evaluators.indexOf(self)) {
      acting = false;
      lowerHeardNanos = nowNanos;
    }
    if (!acting || isolated) {
      shareInForce.valid(nowNanos).ifPresent(v -> evaluator.adopt(v, nowNanos));
    }
  }

  /** Returns the evaluators as of the last tick, the first one first. */
  List<MemberId> evaluators() {
    return evaluators;
  }

  void receive(MemberId from, RolloutReport r, long nowNanos) {
    evaluator.add(from, r, nowNanos);
  }

  void receive(RolloutVerdict v, long nowNanos) {
    learnElapsed(v.elapsedMillis(), nowNanos);
    if (v.state().isFinal()) {
      finish(v.state(), v.stored(), "told by a peer", nowNanos);
    } else {
      statusKnown = true;
    }
  }

  /** Replies to a member that knows no state, if this one knows it. */
  void reply(MemberId to, long nowNanos) {
    if (statusKnown || end.isPresent()) {
      out.send(to, verdict(nowNanos));
    }
    if (end.isEmpty()) {
      // One that may be about to go first must continue from the step, not from the canary.
      shareInForce.standing(nowNanos).ifPresent(a -> out.send(to, a));
    }
  }

  /** Applies a read of the store; empty if it has no state of this order. */
  void read(Optional<RolloutStatus> stored, long nowNanos) {
    statusKnown = true;
    runningStored |= stored.isPresent();
    stored
        .filter(s -> s.state().isFinal())
        .ifPresent(s -> finish(s.state(), true, "read from the store", nowNanos));
  }

  /** Takes over that the version of this order was completed by an earlier one. */
  void carryOver(long nowNanos) {
    finish(RolloutState.COMPLETED, false, "the version has the traffic already", nowNanos);
    // The platform stops other targets at once, on which canary requests may still run.
    store.restart(nowNanos + CARRY_OVER_NANOS);
  }

  @SuppressWarnings("ReferenceEquality") // Each change publishes a new roster.
  void tick(Roster roster, MemberView view, long nowNanos) {
    if (roster != ranked) {
      ranked = roster;
      evaluators = Evaluators.of(order.id(), roster);
    }
    int rank = evaluators.indexOf(self);
    if (end.isPresent()) {
      repeatEnd(roster, rank, nowNanos);
      return;
    }
    learnStatus(rank, nowNanos);
    if (isolated && view.hasMajority()) {
      // The other side may have gone on to a later step.
      acting = false;
      listeningSinceNanos = nowNanos;
    }
    isolated = !view.hasMajority();
    acting &= rank >= 0;
    if (rank >= 0 && statusKnown && evaluation.isDue(nowNanos)) {
      if (!acting && isFirst(rank, nowNanos)) {
        acting = true;
        evaluator.takeOver(nowNanos);
      }
      evaluate(roster, view, nowNanos);
    }
  }

  /** Returns whether no evaluator of a lower rank is there, or none has announced for a while. */
  private boolean isFirst(int rank, long nowNanos) {
    return nowNanos - listeningSinceNanos >= LISTEN_NANOS
        && nowNanos - lowerHeardNanos >= rank * SILENCE_NANOS;
  }

  String describe(long nowNanos) {
    return state()
        + (end.isPresent() ? (endStored ? " (stored)" : " (not stored yet)") : "")
        + ", version "
        + order.version()
        + ", share "
        + share(nowNanos)
        + ", "
        + elapsedMillis(nowNanos)
        + " of "
        + order.durationMillis()
        + " ms, "
        + evaluator.describe(nowNanos);
  }

  private void evaluate(Roster roster, MemberView view, long nowNanos) {
    Decision d = evaluator.evaluate(acting, view, nowNanos - orderedNanos, nowNanos);
    if (d.bad() && d.end().isPresent()) {
      finish(RolloutState.ROLLED_BACK, false, d.reason(), nowNanos);
      repeatEnd(roster, 0, nowNanos);
      return;
    }
    if (!acting) {
      return;
    }
    if (d.end().filter(s -> s == RolloutState.ROLLED_BACK).isPresent()) {
      finish(RolloutState.ROLLED_BACK, false, d.reason(), nowNanos);
      repeatEnd(roster, 0, nowNanos);
      return;
    }
    completionDue = d.end().isPresent();
    announce(roster, d.announcement(), nowNanos);
    if (completionDue && store.isDue(nowNanos)) {
      out.write(RolloutStatus.of(order, RolloutState.COMPLETED));
    } else if (!runningStored && store.isDue(nowNanos)) {
      out.write(RolloutStatus.of(order, RolloutState.RUNNING));
    }
  }

  private void announce(Roster roster, RolloutAnnouncement a, long nowNanos) {
    Optional<RolloutAnnouncement> last = shareInForce.valid(nowNanos);
    boolean changed =
        last.filter(
                l ->
                    l.step() == a.step()
                        && l.rotation() == a.rotation()
                        && l.goodSoFar() == a.goodSoFar()
                        && (l.share() > 0) == (a.share() > 0))
            .isEmpty();
    if (changed || announcing.isDue(nowNanos)) {
      announcing.restart(nowNanos);
      if (last.map(RolloutAnnouncement::step).filter(s -> s == a.step()).isEmpty()) {
        out.log(false, order, "step " + a.step() + ", share " + a.share());
      }
      receive(self, a, nowNanos);
      out.broadcast(roster, a);
    }
  }

  /** Asks the store and the evaluators while the state is not known or may have ended unheard. */
  private void learnStatus(int rank, long nowNanos) {
    if (!statusKnown) {
      if (query.isDue(nowNanos)) {
        evaluators.stream()
            .filter(m -> !m.equals(self))
            .forEach(m -> out.send(m, new RolloutQuery(order.service(), order.id())));
      }
      if (store.isDue(nowNanos)) {
        out.read();
      }
    } else if ((rank == 0 || shareInForce.valid(nowNanos).isEmpty()) && reread.isDue(nowNanos)) {
      out.read();
    }
  }

  /** Repeats a final state to the members, and writes it until the store has it. */
  private void repeatEnd(Roster roster, int rank, long nowNanos) {
    if (rank >= 0 && nowNanos - endedNanos < REPEAT_NANOS && announcing.isDue(nowNanos)) {
      out.broadcast(roster, verdict(nowNanos));
    }
    long delayNanos = rank * REREAD_INTERVAL_NANOS;
    if (!endStored && rank >= 0 && nowNanos - endedNanos >= delayNanos && store.isDue(nowNanos)) {
      out.write(RolloutStatus.of(order, end.orElseThrow()));
    } else if (!endStored && rank < 0 && reread.isDue(nowNanos)) {
      out.read();
    }
  }

  /** Applies a final state. One in the store stands; otherwise the first one that is heard. */
  private void finish(RolloutState s, boolean stored, String reason, long nowNanos) {
    boolean replaces = stored && !endStored && end.filter(e -> e != s).isPresent();
    if (stored && !endStored) {
      endStored = true;
      endedNanos = nowNanos; // The members are told anew, now that it stands.
    }
    if (end.isEmpty() || replaces) {
      end = Optional.of(s);
      endedNanos = nowNanos;
      announcing.clear();
      store.clear();
      out.ended(order, s, reason);
    }
  }

  private RolloutVerdict verdict(long nowNanos) {
    return new RolloutVerdict(
        order.service(), order.id(), state(), endStored, elapsedMillis(nowNanos));
  }

  private void learnElapsed(long elapsedMillis, long nowNanos) {
    long elapsedNanos = TimeUnit.MILLISECONDS.toNanos(elapsedMillis);
    orderedNanos = Math.min(orderedNanos, nowNanos - elapsedNanos);
  }

  private long elapsedMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - orderedNanos);
  }
}
