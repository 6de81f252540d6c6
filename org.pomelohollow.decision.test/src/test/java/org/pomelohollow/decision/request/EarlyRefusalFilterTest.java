package org.pomelohollow.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.admission.RoutePressures;
import org.pomelohollow.decision.fairness.AccountShares;
import org.pomelohollow.decision.routing.Router;
import org.pomelohollow.decision.routing.ZoneSpill;
import org.pomelohollow.document.PathPattern;
import org.pomelohollow.document.RouteEntry;
import org.pomelohollow.document.WeightedService;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/** Guards against shares that change anything where they are not in effect. */
class EarlyRefusalFilterTest {
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final long NOW = 5_000_000_000L;
  private static final TargetLoad HALF = new TargetLoad(10, 10, 5, Priority.NONE_SHED, 0.5);
  private static final TargetLoad HALF_SLOWED =
      new TargetLoad(10, 10, 5, Priority.NONE_SHED, 0.5, 2.5);

  private static final TargetLoad FULL_SLOWED =
      new TargetLoad(10, 10, 10, Priority.NONE_SHED, 1, 2.5);

  private final RoutePressures pressures = new RoutePressures();
  private long now = NOW;
  private final List<Effect> effects = new ArrayList<>();

  @Test
  void choicesDrawsAndDelaysAreAsBeforeWithoutAReportedSlowdown() {
    EarlyRefusalFilter f = filter(HALF, new SplittableRandom(5), TargetLoad::hasSlowdown);
    SplittableRandom expected = new SplittableRandom(5);
    for (int i = 0; i < 2_000; i++) {
      Optional<Verdict> v = apply(f, true);
      Optional<Verdict> before =
          expected.nextDouble() < 0.5
              ? Optional.of(
                  new Verdict.NotRun(ErrorCode.OVERLOADED, 1_000 + expected.nextLong(1_000) - 500))
              : Optional.empty();
      assertEquals(before, v);
    }
    assertEquals(List.of(), effects);
  }

  @Test
  void refusalsWithAReportedSlowdownComeWithADelayThatIsObeyed() {
    EarlyRefusalFilter f = filter(HALF_SLOWED, new SplittableRandom(5), TargetLoad::hasSlowdown);
    int refused = 0;
    for (int i = 0; i < 2_000; i++) {
      Optional<Verdict> v = apply(f, true);
      refused += v.isPresent() ? 1 : 0;
      v.ifPresent(
          r -> assertTrue(((Verdict.NotRun) r).retryAfterMillis() <= 3_000 / 3, r.toString()));
    }
    assertTrue(refused >= 900 && refused <= 1_100, refused + " refused");
  }

  @Test
  void callsOfRunningParentsAreNeverRefusedForPressure() {
    EarlyRefusalFilter f = filter(HALF_SLOWED, new SplittableRandom(5), l -> true);
    for (int i = 0; i < 1_000; i++) {
      assertEquals(Optional.empty(), apply(f, false));
    }
  }

  /** Guards against a wait for callers that come back once only, and did. */
  @Test
  void aReturnedRequestThatIsRefusedIsNotExpectedAgain() {
    EarlyRefusalFilter f = filter(FULL_SLOWED, new SplittableRandom(5), TargetLoad::hasSlowdown);
    Verdict.NotRun first = (Verdict.NotRun) apply(f, true).orElseThrow();
    assertEquals("1", expectedReturns(f));
    now += TimeUnit.MILLISECONDS.toNanos(first.retryAfterMillis());
    pressures.recordLoad("r", FULL_SLOWED, now);
    assertTrue(apply(f, true).isPresent());
    assertEquals("0", expectedReturns(f));
  }

  private String expectedReturns(EarlyRefusalFilter f) {
    return f.dump(now).lines().stream()
        .filter(l -> l.name().equals("expected returns"))
        .map(l -> String.valueOf(l.value()))
        .findFirst()
        .orElseThrow();
  }

  private EarlyRefusalFilter filter(
      TargetLoad load, SplittableRandom random, Predicate<TargetLoad> rule) {
    AccountShares shares = new AccountShares(new MemberId("h", 1), effects::add, rule);
    pressures.recordLoad("r", load, NOW);
    shares.recordLoad(SERVICE, load, NOW);
    Router router =
        new Router(new SplittableRandom(1), new ZoneSpill(new SplittableRandom(2), e -> {}));
    EarlyRefusalFilter f =
        new EarlyRefusalFilter(
            new EarlyRefusalFilter.Dependencies(router, pressures, shares, random, () -> now));
    f.handle(new Event.Tick(), NOW);
    return f;
  }

  private Optional<Verdict> apply(EarlyRefusalFilter f, boolean fromCaller) {
    List<Verdict> refusals = new ArrayList<>();
    RequestHead head =
        new RequestHead(
            "id",
            "GET",
            "/r/",
            fromCaller ? Optional.of("key") : Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            0,
            Optional.empty());
    Exchange x = new Exchange(head, now, refusals::add);
    Optional<AccountId> account = fromCaller ? Optional.of(new AccountId("a")) : Optional.empty();
    x.setRoute(route(!fromCaller), SERVICE);
    account.ifPresent(x::setAccount);
    x.setContext(
        new RequestContext(
            "id",
            "id",
            SERVICE,
            "r",
            account,
            new Priority(1),
            now + 3_000_000_000L,
            true,
            Optional.empty(),
            0,
            0,
            0));
    boolean[] passed = new boolean[1];
    f.apply(x, now, (y, n) -> passed[0] = true);
    assertEquals(passed[0], refusals.isEmpty());
    return refusals.stream().findFirst();
  }

  private static RouteEntry route(boolean open) {
    return new RouteEntry(
        "r",
        Optional.empty(),
        List.of(new WeightedService(SERVICE, 1)),
        Set.of("GET"),
        PathPattern.ofPrefix("/r/"),
        new Priority(1),
        true,
        open,
        3_000,
        false,
        1,
        2_000);
  }
}
