package org.pomelohollow.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.decision.admission.Pressures;
import org.pomelohollow.decision.attempt.AttemptFilter;
import org.pomelohollow.decision.attempt.AttemptTransport;
import org.pomelohollow.decision.attempt.RetryBudgets;
import org.pomelohollow.decision.attempt.RetrySettings;
import org.pomelohollow.decision.claim.ClaimController;
import org.pomelohollow.decision.claim.ClaimFilter;
import org.pomelohollow.decision.claim.ClaimSettings;
import org.pomelohollow.decision.config.ConfigController;
import org.pomelohollow.decision.guard.Guard;
import org.pomelohollow.decision.guard.RunningCalls;
import org.pomelohollow.decision.membership.MembershipController;
import org.pomelohollow.decision.quarantine.QuarantineController;
import org.pomelohollow.decision.quarantine.QuarantineFilter;
import org.pomelohollow.decision.quota.AccountRates;
import org.pomelohollow.decision.request.DeadlineFilter;
import org.pomelohollow.decision.request.EarlyRefusalFilter;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.request.Filter;
import org.pomelohollow.decision.request.FilterChain;
import org.pomelohollow.decision.request.KeyFilter;
import org.pomelohollow.decision.request.QuotaFilter;
import org.pomelohollow.decision.request.RouteFilter;
import org.pomelohollow.decision.request.StalenessFilter;
import org.pomelohollow.decision.routing.Router;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.TargetLoad;

/** All decisions of one daemon: its controllers and its filter chain. Confined to one thread. */
public final class Node {
  private final LongSupplier clock;
  private final Effects effects;
  private final Deque<Event> pending = new ArrayDeque<>();
  private final PauseDetector pauses = new PauseDetector();
  private final ConfigController config;
  private final MembershipController membership;
  private final AdmissionController admission;
  private final ClaimController claims;
  private final Guard guard;
  private final List<Controller> controllers;
  private final FilterChain chain;
  private boolean dispatching;

  /**
   * Creates the decisions of a daemon.
   *
   * @param setup what the daemon knows at its start
   * @param transport carries attempts to targets' daemons
   * @param clock monotonic time, in nanoseconds
   * @param random source of random choices
   * @param outside takes the effects that reach beyond this node
   */
  public Node(
      Setup setup,
      AttemptTransport transport,
      LongSupplier clock,
      RandomGenerator random,
      Effects outside) {
    this.clock = clock;
    this.effects = e -> route(e, outside);
    this.config = new ConfigController(effects, setup.terms().documents());
    this.membership =
        new MembershipController(setup.self(), setup.seeds(), config, random, effects);
    this.admission = new AdmissionController(setup.self().zone(), setup.terms().admission());
    Pressures pressures = new Pressures();
    Router router = new Router(random);
    this.claims = new ClaimController(setup.self().id(), ClaimSettings.DEFAULT, effects);
    QuarantineController quarantine =
        new QuarantineController(setup.self().id(), setup.terms().quarantine(), random, effects);
    this.guard =
        new Guard(new Guard.Parts(admission, claims, quarantine, new RunningCalls(), clock));
    Timers timers = new Timers();
    RetrySettings retries = setup.terms().retries();
    AttemptFilter attempts =
        new AttemptFilter(
            new AttemptFilter.Parts(
                router,
                noting(transport),
                timers,
                clock,
                random,
                retries,
                new RetryBudgets(retries.ratio(), retries.burst()),
                quarantine,
                (x, load, now) -> heard(pressures, x, load, now)));
    AccountRates quota = setup.terms().rates().create(setup.self().id(), effects);
    KeyFilter keys = new KeyFilter();
    EarlyRefusalFilter early = new EarlyRefusalFilter(router, pressures, random);
    List<Controller> all =
        List.of(
            timers,
            config,
            keys,
            early,
            quota,
            router,
            admission,
            claims,
            quarantine,
            guard,
            membership);
    this.controllers = all.stream().filter(c -> c != claims || setup.terms().claims()).toList();
    this.chain =
        new FilterChain(filters(setup.terms(), keys, timers, quarantine, early, quota, attempts));
  }

  private List<Filter> filters(
      NodeTerms terms,
      KeyFilter keys,
      Timers timers,
      QuarantineController quarantine,
      EarlyRefusalFilter early,
      AccountRates quota,
      AttemptFilter attempts) {
    return List.of(
        new RouteFilter(config::active),
        new StalenessFilter(t -> terms.failsClosed() && config.isStale(t)),
        keys,
        new DeadlineFilter(
            terms.retries().rootAllowance(),
            claims.settings().windowNanos() / 4,
            guard.running(),
            timers),
        this::noteCall,
        new QuarantineFilter(quarantine),
        new ClaimFilter(),
        early,
        new QuotaFilter(quota),
        attempts);
  }

  /**
   * Hands an event to all controllers.
   *
   * @param event the event, not null
   */
  public void handle(Event event) {
    checkForPause();
    dispatchAll(event);
  }

  /** Tells membership which members requests are sent to, so that it watches them. */
  private AttemptTransport noting(AttemptTransport transport) {
    return (to, x, listener) -> {
      membership.used(to, clock.getAsLong());
      return transport.start(to, x, listener);
    };
  }

  private void noteCall(Exchange x, long nowNanos, Filter.Chain next) {
    if (x.isCall()) {
      admission.called(x.context().route());
    }
    next.proceed(x, nowNanos);
  }

  private void heard(Pressures pressures, Exchange x, TargetLoad load, long nowNanos) {
    pressures.heard(x.context().route(), load, nowNanos);
    if (x.isCall()) {
      admission.heard(x.context().route(), load, nowNanos);
    }
  }

  private void checkForPause() {
    if (!dispatching) {
      pauses.check(clock.getAsLong()).ifPresent(gap -> dispatchAll(new Event.Resumed(gap)));
    }
  }

  private void dispatchAll(Event event) {
    pending.add(event);
    if (dispatching) {
      return;
    }
    dispatching = true;
    try {
      while (!pending.isEmpty()) {
        dispatch(pending.remove());
      }
    } finally {
      dispatching = false;
    }
  }

  /**
   * Starts a request at this daemon as its entry.
   *
   * @param x the request
   */
  public void start(Exchange x) {
    checkForPause();
    long now = clock.getAsLong();
    x.head().parent().ifPresent(p -> trackOutbound(x, p.requestId(), now));
    chain.start(x, now);
  }

  /** Returns the admission of this daemon's target. */
  public AdmissionController admission() {
    return admission;
  }

  /** Returns the guard of this daemon's target. */
  public Guard guard() {
    return guard;
  }

  /** Returns the claims of non-idempotent requests. */
  public ClaimController claims() {
    return claims;
  }

  /** Returns the configuration's controller. */
  public ConfigController config() {
    return config;
  }

  /** Returns the membership's controller. */
  public MembershipController membership() {
    return membership;
  }

  /** Returns the state of every part. */
  public List<StateDump> dump() {
    long now = clock.getAsLong();
    List<StateDump> out = new ArrayList<>();
    controllers.forEach(c -> out.add(c.dump(now)));
    return out;
  }

  private void trackOutbound(Exchange x, String parentId, long nowNanos) {
    AdmissionController.OutboundEnd end = admission.outboundStarted(parentId, nowNanos);
    x.onEnd(v -> end.at(clock.getAsLong()));
  }

  private void dispatch(Event event) {
    long now = clock.getAsLong();
    controllers.forEach(c -> c.handle(event, now));
    membership.setTarget(admission.targetState(), now);
  }

  private void route(Effect e, Effects outside) {
    if (e instanceof Effect.Raise r) {
      handle(r.event());
    } else {
      outside.emit(e);
    }
  }

  /**
   * What a daemon knows at its start.
   *
   * @param self its identity, address and zone
   * @param seeds addresses of peers to try before the log has told of any
   * @param terms how it works with its deployment
   */
  public record Setup(Member self, List<Endpoint> seeds, NodeTerms terms) {
    /** Copies the list. */
    public Setup {
      Objects.requireNonNull(self, "self");
      Objects.requireNonNull(terms, "terms");
      seeds = List.copyOf(seeds);
    }
  }
}
