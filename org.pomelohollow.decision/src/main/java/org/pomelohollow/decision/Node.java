package org.pomelohollow.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.decision.admission.RoutePressures;
import org.pomelohollow.decision.attempt.AttemptFilter;
import org.pomelohollow.decision.attempt.AttemptTransport;
import org.pomelohollow.decision.attempt.RetryBudgets;
import org.pomelohollow.decision.attempt.RetrySettings;
import org.pomelohollow.decision.claim.ClaimController;
import org.pomelohollow.decision.claim.ClaimFilter;
import org.pomelohollow.decision.claim.ClaimSettings;
import org.pomelohollow.decision.config.ConfigController;
import org.pomelohollow.decision.fairness.AccountShares;
import org.pomelohollow.decision.guard.Guard;
import org.pomelohollow.decision.guard.RunningRequests;
import org.pomelohollow.decision.membership.MembershipController;
import org.pomelohollow.decision.quarantine.QuarantineController;
import org.pomelohollow.decision.quarantine.QuarantineFilter;
import org.pomelohollow.decision.quota.AccountRateLimiter;
import org.pomelohollow.decision.request.ApiKeyFilter;
import org.pomelohollow.decision.request.DeadlineFilter;
import org.pomelohollow.decision.request.EarlyRefusalFilter;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.request.Filter;
import org.pomelohollow.decision.request.FilterChain;
import org.pomelohollow.decision.request.QuotaFilter;
import org.pomelohollow.decision.request.RouteFilter;
import org.pomelohollow.decision.request.StaleConfigurationFilter;
import org.pomelohollow.decision.rollout.RolloutController;
import org.pomelohollow.decision.routing.Router;
import org.pomelohollow.decision.routing.ZoneSpill;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.TargetLoad;

/**
 * Decision logic of one daemon: its controllers and the filter chain for requests. Confined to one
 * thread.
 */
public final class Node {
  private final LongSupplier clock;
  private final LongSupplier wallClockMillis;
  private final EffectSink effects;
  private final Deque<Event> pendingEvents = new ArrayDeque<>();
  private final PauseDetector pauseDetector = new PauseDetector();
  private final ConfigController config;
  private final MembershipController membership;
  private final AdmissionController admission;
  private final ClaimController claims;
  private final AccountShares shares;
  private final RolloutController rollouts;
  private final Guard guard;
  private final ZoneSpill zones;
  private final List<Controller> controllers;
  private final FilterChain chain;
  private boolean dispatching;

  /**
   * Creates the decision logic of a daemon.
   *
   * @param setup identity and settings of the daemon
   * @param transport sends attempts to the daemons of targets
   * @param clock monotonic time, in nanoseconds
   * @param wallClockMillis time of day, in milliseconds since the epoch; used to detect pauses only
   * @param random source of random choices
   * @param externalEffects receives the effects to carry out outside this node
   */
  public Node(
      Setup setup,
      AttemptTransport transport,
      LongSupplier clock,
      LongSupplier wallClockMillis,
      RandomGenerator random,
      EffectSink externalEffects) {
    this.clock = clock;
    this.wallClockMillis = wallClockMillis;
    this.effects = e -> routeEffect(e, externalEffects);
    this.config = new ConfigController(effects, setup.settings().documentFormat());
    this.membership =
        new MembershipController(setup.self(), setup.seeds(), config, random, effects);
    this.admission = new AdmissionController(setup.self().zone(), setup.settings().admission());
    this.shares =
        new AccountShares(setup.self().id(), effects, setup.settings().admission().scarcityRule());
    RoutePressures pressures = new RoutePressures();
    this.zones = new ZoneSpill(random, effects);
    Router router = new Router(random, zones);
    this.claims = new ClaimController(setup.self().id(), ClaimSettings.DEFAULT, effects);
    QuarantineController quarantine =
        new QuarantineController(setup.self().id(), setup.settings().quarantine(), random, effects);
    this.rollouts = createRollouts(setup, random, router, quarantine);
    this.guard = createGuard(quarantine);
    Timers timers = new Timers();
    RetrySettings retries = setup.settings().retries();
    AttemptFilter attempts =
        new AttemptFilter(
            new AttemptFilter.Dependencies(
                router,
                withContactTracking(transport),
                timers,
                clock,
                random,
                retries,
                new RetryBudgets(retries.ratio(), retries.burst()),
                quarantine,
                (x, load, now) -> recordLoad(pressures, x, load, now)));
    AccountRateLimiter quota =
        setup.settings().rateLimiterFactory().create(setup.self().id(), effects);
    ApiKeyFilter apiKeys = new ApiKeyFilter();
    EarlyRefusalFilter earlyRefusal =
        new EarlyRefusalFilter(
            new EarlyRefusalFilter.Dependencies(router, pressures, shares, random, clock));
    List<Controller> all =
        List.of(
            timers,
            config,
            apiKeys,
            earlyRefusal,
            shares,
            quota,
            rollouts,
            router,
            zones,
            admission,
            claims,
            quarantine,
            guard,
            membership);
    this.controllers =
        all.stream().filter(c -> c != claims || setup.settings().claimsEnabled()).toList();
    this.chain =
        new FilterChain(
            filters(setup.settings(), apiKeys, timers, quarantine, earlyRefusal, quota, attempts));
  }

  private Guard createGuard(QuarantineController quarantine) {
    return new Guard(
        new Guard.Dependencies(
            admission,
            claims,
            quarantine,
            new RunningRequests(),
            clock,
            rollouts.targetObserver()));
  }

  private RolloutController createRollouts(
      Setup setup, RandomGenerator random, Router router, QuarantineController quarantine) {
    RolloutController c =
        new RolloutController(
            setup.self().id(),
            setup.settings().rollouts(),
            random,
            admission::targetState,
            admission::load,
            effects);
    router.setTrafficSplit(c);
    quarantine.setTrafficSplit(c);
    return c;
  }

  private List<Filter> filters(
      NodeSettings settings,
      ApiKeyFilter apiKeys,
      Timers timers,
      QuarantineController quarantine,
      EarlyRefusalFilter earlyRefusal,
      AccountRateLimiter quota,
      AttemptFilter attempts) {
    return List.of(
        new RouteFilter(config::active),
        new StaleConfigurationFilter(t -> settings.failsClosed() && config.isStale(t)),
        apiKeys,
        new DeadlineFilter(
            settings.retries().rootAllowance(),
            claims.settings().windowNanos() / 4,
            guard.runningRequests(),
            timers),
        this::recordChildCall,
        new QuarantineFilter(quarantine),
        new ClaimFilter(),
        earlyRefusal,
        new QuotaFilter(quota),
        attempts);
  }

  /**
   * Dispatches an event to all controllers.
   *
   * @param event the event, not null
   */
  public void handle(Event event) {
    checkForPause();
    dispatchInOrder(event);
  }

  /** Reports the members that get attempts to the membership, which then monitors them. */
  private AttemptTransport withContactTracking(AttemptTransport transport) {
    return (to, x, listener) -> {
      membership.recordUse(to, clock.getAsLong());
      return transport.start(to, x, listener);
    };
  }

  private void recordChildCall(Exchange x, long nowNanos, Filter.Chain next) {
    if (x.isChildCall()) {
      admission.recordOutboundCall(x.context().route());
    }
    next.proceed(x, nowNanos);
  }

  private void recordLoad(RoutePressures pressures, Exchange x, TargetLoad load, long nowNanos) {
    pressures.recordLoad(x.context().route(), load, nowNanos);
    shares.recordLoad(x.context().service(), load, nowNanos);
    if (x.isChildCall()) {
      admission.recordReportedLoad(x.context().route(), load, nowNanos);
    }
  }

  private void checkForPause() {
    if (!dispatching) {
      pauseDetector
          .check(clock.getAsLong(), wallClockMillis.getAsLong())
          .ifPresent(pauseNanos -> dispatchInOrder(new Event.ProcessResumed(pauseNanos)));
    }
  }

  /** Queues an event and, unless a dispatch is in progress, dispatches the whole queue. */
  private void dispatchInOrder(Event event) {
    pendingEvents.add(event);
    if (dispatching) {
      return;
    }
    dispatching = true;
    try {
      while (!pendingEvents.isEmpty()) {
        dispatch(pendingEvents.remove());
      }
    } finally {
      dispatching = false;
    }
  }

  /**
   * Starts processing a request for which this daemon is the entry.
   *
   * @param x the request
   */
  public void start(Exchange x) {
    checkForPause();
    long now = clock.getAsLong();
    x.head().parent().ifPresent(p -> trackOutbound(x, p.requestId(), now));
    chain.start(x, now);
  }

  /** Returns the admission controller of this daemon's target. */
  public AdmissionController admission() {
    return admission;
  }

  /** Returns the guard of this daemon's target. */
  public Guard guard() {
    return guard;
  }

  /** Returns the controller of the claims on non-idempotent requests. */
  public ClaimController claims() {
    return claims;
  }

  /** Returns the controller of the shares of client accounts. */
  public AccountShares shares() {
    return shares;
  }

  /** Returns the controller of version upgrades. */
  public RolloutController rollouts() {
    return rollouts;
  }

  /** Returns the configuration controller. */
  public ConfigController config() {
    return config;
  }

  /** Returns the policy that decides which requests leave the availability zone. */
  public ZoneSpill zones() {
    return zones;
  }

  /** Returns the membership controller. */
  public MembershipController membership() {
    return membership;
  }

  /** Returns a snapshot of the state of every controller. */
  public List<StateDump> dump() {
    long now = clock.getAsLong();
    List<StateDump> out = new ArrayList<>();
    controllers.forEach(c -> out.add(c.dump(now)));
    return out;
  }

  private void trackOutbound(Exchange x, String parentId, long nowNanos) {
    AdmissionController.OutboundCall outboundCall = admission.startOutboundCall(parentId, nowNanos);
    x.onEnd(v -> outboundCall.end(clock.getAsLong()));
  }

  private void dispatch(Event event) {
    long now = clock.getAsLong();
    controllers.forEach(c -> c.handle(event, now));
    membership.setTarget(admission.targetState(), now);
  }

  /** Dispatches raised events inside this node and passes other effects on. */
  private void routeEffect(Effect e, EffectSink externalEffects) {
    if (e instanceof Effect.RaiseEvent r) {
      handle(r.event());
    } else {
      externalEffects.emit(e);
    }
  }

  /**
   * Identity and settings of a daemon at its start.
   *
   * @param self the daemon's member identifier, address and availability zone
   * @param seeds addresses of peers to contact before the log has named any
   * @param settings deployment-specific settings
   */
  public record Setup(Member self, List<Endpoint> seeds, NodeSettings settings) {
    /** Copies the list. */
    public Setup {
      Objects.requireNonNull(self, "self");
      Objects.requireNonNull(settings, "settings");
      seeds = List.copyOf(seeds);
    }
  }
}
