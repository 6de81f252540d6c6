package org.pomelohollow.decision.attempt;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.Timers;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.decision.guard.RunningRequests;
import org.pomelohollow.decision.quarantine.QuarantineController;
import org.pomelohollow.decision.quarantine.QuarantineSettings;
import org.pomelohollow.decision.request.DeadlineFilter;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.request.FilterChain;
import org.pomelohollow.decision.request.RequestHead;
import org.pomelohollow.decision.request.RouteFilter;
import org.pomelohollow.decision.routing.Router;
import org.pomelohollow.decision.routing.ZoneSpill;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.PathPattern;
import org.pomelohollow.document.RouteEntry;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.model.ZoneId;

/**
 * An entry daemon's filter chain around {@link AttemptFilter}, with a manual clock and a given
 * number of targets.
 */
public final class AttemptHarness {
  public static final ServiceId SERVICE = new ServiceId("s");
  public static final RetrySettings NO_BACKOFF = new RetrySettings(6, 0.1, 20, 0, 0);
  private static final ZoneId ZONE = new ZoneId("a");
  private static final long TIMEOUT_MILLIS = 2_000;

  public final ManualClock clock = new ManualClock();
  public final Timers timers = new Timers();
  public final List<Verdict> refusals = new ArrayList<>();
  public final List<TargetLoad> reportedLoads = new ArrayList<>();
  private final FilterChain chain;
  private int requests;

  public AttemptHarness(
      int targets, RetrySettings settings, RunningRequests running, AttemptTransport transport) {
    RandomGenerator random = new SplittableRandom(targets);
    Router router = new Router(random, new ZoneSpill(random, e -> {}));
    router.handle(new Event.ConfigActivated(document()), clock.getAsLong());
    router.handle(new Event.RosterChanged(roster(targets)), clock.getAsLong());
    RetryBudgets budgets = new RetryBudgets(settings.ratio(), settings.burst());
    QuarantineController quarantine =
        new QuarantineController(member(0), QuarantineSettings.DEFAULT, random, e -> {});
    quarantine.handle(new Event.RosterChanged(roster(targets)), clock.getAsLong());
    AttemptFilter.Dependencies deps =
        new AttemptFilter.Dependencies(
            router,
            transport,
            timers,
            clock,
            random,
            settings,
            budgets,
            quarantine,
            (x, load, now) -> reportedLoads.add(load));
    chain =
        new FilterChain(
            List.of(
                new RouteFilter(() -> Optional.of(document())),
                new DeadlineFilter(settings.rootAllowance(), Long.MAX_VALUE, running, timers),
                new AttemptFilter(deps)));
  }

  public Exchange start(boolean idempotent, Optional<RequestContext> parent) {
    RequestHead head =
        new RequestHead(
            "r" + ++requests,
            idempotent ? "GET" : "POST",
            "/x",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            0,
            parent);
    Exchange x = new Exchange(head, clock.getAsLong(), refusals::add);
    chain.start(x, clock.getAsLong());
    return x;
  }

  public void tick(Duration d) {
    timers.handle(new Event.Tick(), clock.advance(d));
  }

  private static VersionedDocument document() {
    Document d =
        new Document(
            "test",
            List.of("p"),
            Map.of(ZONE, new ZoneEntry(ZONE, "r", true)),
            Map.of(),
            List.of(),
            Map.of(SERVICE, new ServiceEntry(SERVICE, 10, 10, 1)),
            List.of(route("get", "GET", true), route("post", "POST", false)));
    return new VersionedDocument(1, "c", "", d);
  }

  private static RouteEntry route(String name, String method, boolean idempotent) {
    return new RouteEntry(
        name,
        SERVICE,
        Set.of(method),
        PathPattern.parse("/**"),
        Priority.HIGHEST,
        idempotent,
        true,
        TIMEOUT_MILLIS,
        false);
  }

  private static Roster roster(int targets) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      TargetState t = new TargetState(SERVICE, 10, 10, false, false);
      members.add(new Member(member(i), new Endpoint("127.0.0.1", 1), ZONE, Optional.of(t), false));
    }
    return Roster.of(member(0), members);
  }

  private static MemberId member(int i) {
    return new MemberId("h" + i, 1);
  }
}
