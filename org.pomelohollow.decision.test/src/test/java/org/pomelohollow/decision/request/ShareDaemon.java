package org.pomelohollow.decision.request;

import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.decision.admission.AdmissionSettings;
import org.pomelohollow.decision.admission.FixedLimit;
import org.pomelohollow.decision.admission.RoutePressures;
import org.pomelohollow.decision.admission.WaitPolicy;
import org.pomelohollow.decision.fairness.AccountShares;
import org.pomelohollow.decision.routing.Router;
import org.pomelohollow.decision.routing.ZoneSpill;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.TargetLoad;

/** A daemon of the simulation: entry, and for some admission to a target. */
final class ShareDaemon {
  private static final Endpoint ANY_ADDRESS = new Endpoint("127.0.0.1", 1);

  private final ShareSimulation simulation;
  private final MemberId id;
  private final boolean hasTarget;
  private final AdmissionController admission;
  private final RoutePressures pressures = new RoutePressures();
  private final Router router;
  private final AccountShares shares;
  private final EarlyRefusalFilter filter;

  ShareDaemon(ShareSimulation simulation, String host, boolean hasTarget) {
    this.simulation = simulation;
    this.id = new MemberId(host, 1);
    this.hasTarget = hasTarget;
    this.admission =
        new AdmissionController(
            ShareSimulation.ZONE,
            new AdmissionSettings(
                FixedLimit::new, 0.95, WaitPolicy.OBJECTIVE_BASED, true, simulation.rule));
    // All daemons are in one zone, where the zone policy draws no number.
    ZoneSpill spill = new ZoneSpill(new SplittableRandom(0), e -> {});
    this.router = new Router(simulation.random.split(), spill);
    this.shares = new AccountShares(id, e -> simulation.emit(id, e), simulation.rule);
    this.filter =
        new EarlyRefusalFilter(
            new EarlyRefusalFilter.Dependencies(
                router, pressures, shares, simulation.random.split(), simulation::now));
  }

  MemberId id() {
    return id;
  }

  Member member() {
    return new Member(id, ANY_ADDRESS, ShareSimulation.ZONE, admission.targetState(), false);
  }

  AdmissionController admission() {
    return admission;
  }

  Router router() {
    return router;
  }

  /** Returns whether this daemon sums up the demand of the service. */
  boolean isHome() {
    return shares.dump(simulation.now()).lines().stream()
        .anyMatch(l -> l.name().startsWith("home for "));
  }

  EarlyRefusalFilter filter() {
    return filter;
  }

  void recordLoad(Exchange x, TargetLoad load) {
    pressures.recordLoad(x.context().route(), load, simulation.now());
    shares.recordLoad(x.context().service(), load, simulation.now());
  }

  void handle(Event e) {
    if (hasTarget && (e instanceof Event.Tick || e instanceof Event.ConfigActivated)) {
      TargetAnnouncement a =
          new TargetAnnouncement(
              ShareSimulation.SERVICE,
              ANY_ADDRESS,
              "i",
              ShareSimulation.SLOTS,
              ShareSimulation.SLOTS * 4,
              false,
              0);
      admission.handle(new Event.TargetAnnounced(a), simulation.now());
    }
    filter.handle(e, simulation.now());
    shares.handle(e, simulation.now());
    router.handle(e, simulation.now());
    admission.handle(e, simulation.now());
  }

  Optional<MemberId> chooseTarget() {
    return router.choose(ShareSimulation.SERVICE, Set.of(), simulation.now());
  }
}
