package org.pomelohollow.decision.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.guard.TargetObserver;
import org.pomelohollow.decision.rollout.RolloutEvaluator.MemberView;
import org.pomelohollow.decision.routing.TrafficSplit;
import org.pomelohollow.document.RolloutOrder;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;

/**
 * Moves the traffic of services to targets of another version as operators order it, and back if
 * that version is bad: one that fails or is several times slower, from its start, later, under load
 * or on one route. Without an order it does nothing.
 */
public final class RolloutController implements Controller, TrafficSplit {
  private static final String PART = "rollout";
  private static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Time for which a version stays excluded although none of its targets is live. */
  private static final long ABANDONED_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Time after which members that are gone no longer count as such. */
  private static final long MEMBERS_NANOS = TimeUnit.SECONDS.toNanos(120);

  /** Share of the members that were once live which an evaluator must see to move on. */
  private static final double MAJORITY = 0.6;

  private final MemberId self;
  private final RandomGenerator random;
  private final RolloutSettings settings;
  private final RolloutOutput out;
  private final Supplier<Optional<TargetState>> target;
  private final TargetCounters counters;
  private final Map<ServiceId, ServiceRollout> rollouts = new TreeMap<>();

  /** Versions whose orders ended without being completed, with the time of their ends. */
  private final Map<ServiceId, Map<String, Long>> abandoned = new HashMap<>();

  private final Interval reporting = new Interval(REPORT_INTERVAL_NANOS);
  private final VersionHold hold = new VersionHold();
  private Optional<Roster> roster = Optional.empty();
  private Optional<ServiceId> ownService = Optional.empty();
  private int mostMembers;
  private long mostMembersNanos;
  private boolean hasDocument;

  /**
   * Creates a controller without orders.
   *
   * @param self this daemon
   * @param settings bounds on what a bad version may get
   * @param random source of the random choices of attempts
   * @param target returns the state of this daemon's target
   * @param load returns its load
   * @param effects receives the effects
   */
  public RolloutController(
      MemberId self,
      RolloutSettings settings,
      RandomGenerator random,
      Supplier<Optional<TargetState>> target,
      Supplier<TargetLoad> load,
      EffectSink effects) {
    this.self = self;
    this.settings = settings;
    this.random = random;
    this.target = target;
    this.out = new RolloutOutput(self, effects);
    this.counters = new TargetCounters(target, load);
  }

  /** Returns the observer of the requests at this daemon's target. */
  public TargetObserver targetObserver() {
    return counters;
  }

  /** Returns the number of orders that are not at their end, as far as this daemon knows. */
  public long runningCount() {
    return rollouts.values().stream().filter(r -> !r.state().isFinal()).count();
  }

  /** Returns the number of orders that this daemon has seen completed. */
  public long completedCount() {
    return out.completed();
  }

  /** Returns the number of orders that this daemon has seen rolled back. */
  public long rolledBackCount() {
    return out.rolledBack();
  }

  /**
   * Returns the share in force of a service's new version.
   *
   * @param service the service
   * @param nowNanos current monotonic time, in nanoseconds
   * @return share, 0 to 1; empty without an order
   */
  public Optional<Double> share(ServiceId service, long nowNanos) {
    return Optional.ofNullable(rollouts.get(service)).map(r -> r.share(nowNanos));
  }

  @Override
  public Optional<Groups> split(
      ServiceId service, List<Member> serving, boolean retry, long nowNanos) {
    if (rollouts.isEmpty() && abandoned.isEmpty() && hold.isEmpty()) {
      return Optional.empty();
    }
    ServiceRollout r = rollouts.get(service);
    if (r != null) {
      VersionGroups g = VersionGroups.of(r.order(), excluded(r.order()), serving);
      return Optional.of(r.groups(g, retry, random, nowNanos));
    }
    return !excluded(service).isEmpty()
        ? Optional.of(new Groups(settled(service, serving), List.of(), false))
        : Optional.empty();
  }

  @Override
  public List<Member> settled(ServiceId service, List<Member> serving) {
    ServiceRollout r = rollouts.get(service);
    if (r == null) {
      return VersionGroups.without(excluded(service), serving);
    }
    VersionGroups g = VersionGroups.of(r.order(), excluded(r.order()), serving);
    return r.isSettledOnNew() && !g.fresh().isEmpty() ? g.fresh() : g.old();
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.Tick) {
      tick(nowNanos);
    } else if (event instanceof Event.ConfigActivated c) {
      applyOrders(c.configuration().document().rollouts(), nowNanos);
    } else if (event instanceof Event.RosterChanged c) {
      roster = Optional.of(c.roster());
      countMembers(c.roster().members().size(), nowNanos);
      if (settings.expected()) {
        hold.update(c.roster(), nowNanos);
      }
    } else if (event instanceof Event.MessageReceived m) {
      receive(m.from(), m.message(), nowNanos);
    } else if (event instanceof Event.RolloutStatusRead s) {
      rollouts.values().forEach(r -> r.read(find(s.all(), r.order()), nowNanos));
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b = StateDump.of(PART);
    rollouts.forEach((s, r) -> b.line(s.value(), r.describe(nowNanos)));
    abandoned.forEach((s, v) -> b.line(s.value() + " without versions", v.keySet()));
    return b.build();
  }

  private void applyOrders(Map<ServiceId, RolloutOrder> orders, long nowNanos) {
    if (orders.isEmpty() && rollouts.isEmpty()) {
      hasDocument = true;
      return;
    }
    for (ServiceId s : new HashSet<>(rollouts.keySet())) {
      if (!orders.containsKey(s)) {
        ServiceRollout withdrawn = rollouts.remove(s);
        out.log(false, withdrawn.order(), "withdrawn, was " + withdrawn.state());
        abandon(withdrawn, nowNanos);
      }
    }
    orders.values().forEach(o -> applyOrder(o, nowNanos));
    hasDocument = true;
  }

  /** Counts the members that were once live, but not those that have been gone for long. */
  private void countMembers(int live, long nowNanos) {
    boolean old = nowNanos - mostMembersNanos > MEMBERS_NANOS && runningCount() == 0;
    if (live >= mostMembers || old) {
      mostMembers = live;
      mostMembersNanos = nowNanos;
    }
  }

  private boolean hasMajority() {
    return roster.filter(r -> r.members().size() >= MAJORITY * mostMembers).isPresent();
  }

  private void applyOrder(RolloutOrder o, long nowNanos) {
    ServiceRollout previous = rollouts.get(o.service());
    if (previous != null && previous.order().equals(o)) {
      return;
    }
    out.log(false, o, "ordered, to be done within " + o.durationMillis() + " ms");
    ServiceRollout r = new ServiceRollout(o, self, settings, out, nowNanos);
    rollouts.put(o.service(), r);
    if (previous != null) {
      abandon(previous, nowNanos);
    }
    Map<String, Long> versions = abandoned.get(o.service());
    if (versions != null && versions.remove(o.version()) != null && versions.isEmpty()) {
      abandoned.remove(o.service());
    }
    boolean sameVersion = previous != null && previous.order().version().equals(o.version());
    if (sameVersion ? previous.state() == RolloutState.COMPLETED : hasAllTraffic(o)) {
      r.carryOver(nowNanos);
    }
  }

  /**
   * Returns whether the ordered version gets all requests already: operators order the version that
   * serves, for instance to end an order for another one. A daemon that has just started can't
   * tell.
   */
  private boolean hasAllTraffic(RolloutOrder o) {
    if (!hasDocument || !hasMajority()) {
      return false;
    }
    List<Member> serving = roster.orElseThrow().servingMembers(o.service());
    VersionGroups g = VersionGroups.of(o, abandonedVersions(o.service()), serving);
    return g.old().isEmpty() && !g.fresh().isEmpty();
  }

  private void abandon(ServiceRollout r, long nowNanos) {
    if (r.state() != RolloutState.COMPLETED) {
      abandoned
          .computeIfAbsent(r.order().service(), s -> new TreeMap<>())
          .put(r.order().version(), nowNanos);
    }
  }

  private Set<String> abandonedVersions(ServiceId service) {
    Map<String, Long> versions = abandoned.get(service);
    return versions == null ? Set.of() : versions.keySet();
  }

  /** Returns the versions of a service that get nothing while there are others. */
  private Set<String> excluded(ServiceId service) {
    Set<String> held = hold.versions(service);
    Set<String> all = abandonedVersions(service);
    if (held.isEmpty()) {
      return all;
    }
    Set<String> both = new HashSet<>(all);
    both.addAll(held);
    return both;
  }

  /** Returns the versions that an order's service must not use; the order decides on its own. */
  private Set<String> excluded(RolloutOrder o) {
    Set<String> all = excluded(o.service());
    if (!all.contains(o.version())) {
      return all;
    }
    Set<String> others = new HashSet<>(all);
    others.remove(o.version());
    return others;
  }

  private void tick(long nowNanos) {
    hold.tick(nowNanos);
    if (rollouts.isEmpty() && abandoned.isEmpty()) {
      return;
    }
    removeForgotten(nowNanos);
    counters.setOrder(ownOrder());
    if (roster.isEmpty()) {
      return;
    }
    Roster live = roster.get();
    if (reporting.isDue(nowNanos)) {
      counters.report(nowNanos).ifPresent(r -> report(r, nowNanos));
    }
    rollouts.forEach((s, r) -> r.tick(live, view(r.order(), live), nowNanos));
  }

  private Optional<RolloutOrder> ownOrder() {
    // A target that is lost for a moment keeps its counts.
    ownService = target.get().map(TargetState::service).or(() -> ownService);
    return ownService
        .map(rollouts::get)
        .filter(r -> !r.state().isFinal())
        .map(ServiceRollout::order);
  }

  private void report(RolloutReport r, long nowNanos) {
    for (MemberId m : rollouts.get(r.service()).evaluators()) {
      if (m.equals(self)) {
        receive(self, r, nowNanos);
      } else {
        out.send(m, r);
      }
    }
  }

  private void receive(MemberId from, PeerMessage m, long nowNanos) {
    if (m instanceof RolloutReport r) {
      find(r.service(), r.orderId()).ifPresent(o -> o.receive(from, r, nowNanos));
    } else if (m instanceof RolloutAnnouncement a) {
      find(a.service(), a.orderId()).ifPresent(o -> o.receive(from, a, nowNanos));
    } else if (m instanceof RolloutVerdict v) {
      find(v.service(), v.orderId()).ifPresent(o -> o.receive(v, nowNanos));
    } else if (m instanceof RolloutQuery q) {
      find(q.service(), q.orderId()).ifPresent(o -> o.reply(from, nowNanos));
    }
  }

  private Optional<ServiceRollout> find(ServiceId service, String orderId) {
    return Optional.ofNullable(rollouts.get(service)).filter(r -> r.order().id().equals(orderId));
  }

  private static Optional<RolloutStatus> find(List<RolloutStatus> all, RolloutOrder o) {
    return all.stream().filter(s -> s.isOf(o)).findFirst();
  }

  private MemberView view(RolloutOrder o, Roster live) {
    List<MemberId> old =
        live.members().stream()
            .filter(m -> m.target().filter(t -> t.service().equals(o.service())).isPresent())
            .filter(m -> !VersionGroups.version(m).equals(o.version()))
            .map(Member::id)
            .toList();
    return new MemberView(old, hasMajority());
  }

  /** Forgets versions that were excluded, once their targets have been gone for some time. */
  private void removeForgotten(long nowNanos) {
    abandoned.forEach(
        (s, versions) ->
            versions
                .entrySet()
                .removeIf(
                    e -> nowNanos - e.getValue() > ABANDONED_NANOS && !isLive(s, e.getKey())));
    abandoned.values().removeIf(Map::isEmpty);
  }

  private boolean isLive(ServiceId s, String version) {
    return roster
        .map(r -> r.servingMembers(s).stream())
        .filter(all -> all.anyMatch(m -> VersionGroups.version(m).equals(version)))
        .isPresent();
  }
}
