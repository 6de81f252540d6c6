package org.pomelohollow.decision.rollout;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.decision.routing.Router;
import org.pomelohollow.decision.routing.ZoneSpill;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.RolloutOrder;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.ZoneId;

/** Host of a simulation: a daemon with router and roll-outs, and perhaps a target. */
final class SimulatedHost {
  static final ServiceId SERVICE = new ServiceId("service");
  static final int SLOTS = 32;
  private static final ZoneId ZONE = new ZoneId("z");

  final String name;
  final Optional<String> version;
  final Behaviour behaviour;

  /** Factor on all times of this host's target. */
  double slowness = 1;

  /** Time from which the target accepts requests, in milliseconds; it is cold for 1 s. */
  long startMillis;

  MemberId id;
  RolloutController rollouts;
  Router router;
  boolean daemonUp = true;
  boolean targetUp = true;
  final Set<Object> running = new HashSet<>();
  private long nowMillis;

  SimulatedHost(String name, Optional<String> version, Behaviour behaviour) {
    this.name = name;
    this.version = version;
    this.behaviour = behaviour;
  }

  /** Starts a daemon that knows nothing. */
  void startDaemon(long incarnation, EffectSink effects) {
    id = new MemberId(name, incarnation);
    SplittableRandom random = new SplittableRandom(name.hashCode() + incarnation);
    rollouts =
        new RolloutController(
            id, RolloutSettings.DEFAULT, random, this::target, this::load, effects);
    router = new Router(random, new ZoneSpill(new SplittableRandom(0), e -> {}));
    router.setTrafficSplit(rollouts);
  }

  Member member() {
    return new Member(id, new Endpoint("127.0.0.1", 1), ZONE, target(), false);
  }

  Optional<TargetState> target() {
    boolean present = targetUp && nowMillis >= startMillis;
    return version
        .filter(v -> present)
        .map(v -> new TargetState(SERVICE, SLOTS, SLOTS, isCold(), false, Optional.of(v)));
  }

  boolean isCold() {
    return startMillis > 0 && nowMillis < startMillis + 1_000;
  }

  TargetLoad load() {
    return new TargetLoad(SLOTS, running.size(), 0, Priority.NONE_SHED);
  }

  void setTime(long millis) {
    nowMillis = millis;
  }

  void configure(List<RolloutOrder> orders, long nowNanos) {
    Map<ServiceId, RolloutOrder> all = new java.util.HashMap<>();
    orders.forEach(o -> all.put(o.service(), o));
    Document d =
        new Document(
            "d",
            List.of("p"),
            Map.of(ZONE, new ZoneEntry(ZONE, "r", true)),
            Map.of(),
            List.of(),
            Map.of(),
            List.of(),
            all);
    handle(new Event.ConfigActivated(new VersionedDocument(1, "c", "", d)), nowNanos);
  }

  void setRoster(List<Member> members, long nowNanos) {
    handle(new Event.RosterChanged(Roster.of(id, members)), nowNanos);
  }

  void handle(Event e, long nowNanos) {
    rollouts.handle(e, nowNanos);
    router.handle(e, nowNanos);
  }
}
