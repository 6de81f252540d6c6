package org.pomelohollow.decision.rates;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.decision.quota.QuotaResult;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ZoneId;

/**
 * Simulates requests of one client account at several daemons, and counts the requests that the
 * fleet grants.
 */
class HomeBucketRateLimiterTest {
  private static final AccountId ACCOUNT = new AccountId("account");
  private static final double RATE = 100;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int DAEMONS = 6;
  private static final long PAUSE_NANOS = 5_000 * NANOS_PER_MILLI;

  /** Requests that the platform allows in five seconds: rate and burst, 10 % more, and 20. */
  private static final double MAX_GRANTS_IN_FIVE_SECONDS = (5 * RATE + RATE) * 1.1 + 20;

  private final Map<MemberId, HomeBucketRateLimiter> daemons = new LinkedHashMap<>();
  private final Set<MemberId> stoppedDaemons = new HashSet<>();
  private final List<Message> messagesInFlight = new ArrayList<>();
  private final List<Long> grantNanos = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(7);
  private long nowNanos;
  private int refusals;

  @Test
  void demandBelowTheRateIsGranted() {
    startAll();
    run(10_000, 0.8 * RATE, id -> true);
    assertTrue(refusals <= grantNanos.size() / 100, refusals + " refused of " + grantNanos.size());
  }

  @Test
  void allDaemonsTogetherStayWithinTheRate() {
    startAll();
    run(12_000, 5 * RATE, id -> true);
    assertWithinRate();
    assertTrue(grantNanos.size() >= 0.9 * 12 * RATE, grantNanos.size() + " granted");
  }

  @Test
  void requestsAtOneDaemonMayUseTheWholeRate() {
    startAll();
    MemberId single = daemons.keySet().iterator().next();
    run(10_000, 0.8 * RATE, single::equals);
    assertTrue(refusals <= grantNanos.size() / 50, refusals + " refused of " + grantNanos.size());
  }

  @Test
  void theRateHoldsWhileTheHomeStopsAndReturns() {
    startAll();
    run(5_000, 3 * RATE, id -> true);
    MemberId home = findHome();
    stoppedDaemons.add(home);
    run(1_500, 3 * RATE, id -> true);
    publishRosters();
    run(5_000, 3 * RATE, id -> true);
    stoppedDaemons.clear();
    restart(home);
    publishRosters();
    run(5_000, 3 * RATE, id -> true);
    assertWithinRate();
  }

  @Test
  void bothSidesOfANetworkPartitionTogetherStayWithinTheRate() {
    startAll();
    run(5_000, 3 * RATE, id -> true);
    List<MemberId> all = List.copyOf(daemons.keySet());
    partitionSide = Optional.of(Set.copyOf(all.subList(0, 2)));
    publishRosters();
    run(8_000, 3 * RATE, id -> true);
    assertWithinRate();
  }

  /** Guards against a whole burst on each side of a partition in which the account was idle. */
  @Test
  void bothSidesOfANetworkPartitionTogetherStayWithinTheBurst() {
    startAll();
    run(2_000, 0.1 * RATE, id -> true);
    List<MemberId> all = List.copyOf(daemons.keySet());
    partitionSide = Optional.of(Set.copyOf(all.subList(0, 3)));
    publishRosters();
    run(8_000, 0.1 * RATE, id -> true);
    run(6_000, 8 * RATE, id -> true);
    assertWithinRate();
  }

  /** Guards against refusals of the first requests of an account, long after the start. */
  @Test
  void anAccountThatIsFirstUsedLongAfterTheStartHasItsBurst() {
    startAll();
    nowNanos += 5_000 * NANOS_PER_MILLI;
    run(500, 2 * RATE, id -> true);
    assertTrue(refusals == 0, refusals + " refused of " + grantNanos.size());
    run(6_000, 3 * RATE, id -> true);
    assertWithinRate();
  }

  @Test
  void afterARestartOfAllDaemonsTheAccountIsServedAtOnce() {
    startAll();
    run(5_000, 0.8 * RATE, id -> true);
    List.copyOf(daemons.keySet()).forEach(this::restart);
    publishRosters();
    refusals = 0;
    int grantsBefore = grantNanos.size();
    run(1_000, 0.8 * RATE, id -> true);
    assertTrue(refusals <= 0.2 * RATE, refusals + " refused");
    assertTrue(grantNanos.size() - grantsBefore >= 0.5 * RATE);
  }

  @Test
  void aDaemonSpendsNoTokensAfterTheirLifetime() {
    startAll();
    MemberId home = findHome();
    MemberId other =
        daemons.keySet().stream().filter(id -> !id.equals(home)).findFirst().orElseThrow();
    run(2_000, 0.8 * RATE, other::equals);
    nowNanos += PAUSE_NANOS;
    List<QuotaResult> results = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      daemons.get(other).acquire(ACCOUNT, nowNanos, results::add);
    }
    assertEquals(List.of(), results);
  }

  @Test
  void theRateHoldsWhenAHomeResumesThatOthersHaveReplaced() {
    startAll();
    run(5_000, 3 * RATE, id -> true);
    MemberId home = findHome();
    stoppedDaemons.add(home);
    publishRosters(home);
    run(5_000, 3 * RATE, id -> true);
    stoppedDaemons.clear();
    daemons.get(home).handle(new Event.ProcessResumed(PAUSE_NANOS), nowNanos);
    run(500, 5 * RATE, id -> true);
    publishRosters();
    run(5_000, 3 * RATE, id -> true);
    assertWithinRate();
  }

  @Test
  void anAccountWithoutALimitNeedsNoHome() {
    HomeBucketRateLimiter r = new HomeBucketRateLimiter(id(0), e -> {});
    r.handle(configActivated(AccountEntry.MAX_RATE), 0);
    List<QuotaResult> results = new ArrayList<>();
    r.acquire(ACCOUNT, 0, results::add);
    assertEquals(List.of(new QuotaResult.Granted()), results);
  }

  private Optional<Set<MemberId>> partitionSide = Optional.empty();

  private void startAll() {
    for (int i = 0; i < DAEMONS; i++) {
      restart(id(i));
    }
    publishRosters();
  }

  private void restart(MemberId id) {
    HomeBucketRateLimiter r =
        new HomeBucketRateLimiter(
            id,
            e -> {
              if (e instanceof Effect.Send s) {
                messagesInFlight.add(new Message(nowNanos + NANOS_PER_MILLI, id, s));
              }
            });
    daemons.put(id, r);
    r.handle(configActivated(RATE), nowNanos);
  }

  private void publishRosters() {
    daemons.forEach((id, r) -> r.handle(new Event.RosterChanged(roster(id)), nowNanos));
  }

  /** Gives all daemons their rosters but one, which is paused. */
  private void publishRosters(MemberId paused) {
    daemons.forEach(
        (id, r) -> {
          if (!id.equals(paused)) {
            r.handle(new Event.RosterChanged(roster(id)), nowNanos);
          }
        });
  }

  private Roster roster(MemberId observer) {
    List<Member> visible =
        daemons.keySet().stream()
            .filter(m -> !stoppedDaemons.contains(m) && isConnected(observer, m))
            .map(
                m ->
                    new Member(
                        m, new Endpoint("10.0.0.1", 1), new ZoneId("a"), Optional.empty(), false))
            .toList();
    return Roster.of(observer, visible);
  }

  private boolean isConnected(MemberId a, MemberId b) {
    return partitionSide.map(s -> s.contains(a) == s.contains(b)).orElse(true);
  }

  private MemberId findHome() {
    run(100, RATE, id -> true);
    return daemons.entrySet().stream()
        .filter(e -> e.getValue().dump(nowNanos).toString().contains("home of"))
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow();
  }

  private void run(int millis, double perSecond, java.util.function.Predicate<MemberId> atDaemon) {
    List<MemberId> entryDaemons = daemons.keySet().stream().filter(atDaemon).toList();
    for (int i = 0; i < millis; i++) {
      nowNanos += NANOS_PER_MILLI;
      deliverMessages();
      if (i % 50 == 0) {
        daemons.forEach(
            (id, r) -> {
              if (!stoppedDaemons.contains(id)) {
                r.handle(new Event.Tick(), nowNanos);
              }
            });
      }
      if (random.nextDouble() < perSecond / 1_000) {
        MemberId at = entryDaemons.get(random.nextInt(entryDaemons.size()));
        if (!stoppedDaemons.contains(at)) {
          daemons.get(at).acquire(ACCOUNT, nowNanos, this::recordResult);
        }
      }
    }
  }

  private void recordResult(QuotaResult a) {
    if (a instanceof QuotaResult.Granted) {
      grantNanos.add(nowNanos);
    } else {
      refusals++;
    }
  }

  private void deliverMessages() {
    List<Message> due = messagesInFlight.stream().filter(m -> m.atNanos <= nowNanos).toList();
    messagesInFlight.removeAll(due);
    for (Message m : due) {
      MemberId to = m.send.to();
      if (!stoppedDaemons.contains(to)
          && !stoppedDaemons.contains(m.from)
          && isConnected(m.from, to)) {
        daemons.get(to).handle(new Event.MessageReceived(m.from, m.send.message()), nowNanos);
      }
    }
  }

  private void assertWithinRate() {
    int from = 0;
    for (int to = 0; to < grantNanos.size(); to++) {
      while (grantNanos.get(to) - grantNanos.get(from) > 5_000 * NANOS_PER_MILLI) {
        from++;
      }
      assertTrue(to - from + 1 <= MAX_GRANTS_IN_FIVE_SECONDS, (to - from + 1) + " in five seconds");
    }
  }

  private static MemberId id(int i) {
    return new MemberId("host-" + i, 1);
  }

  private static Event.ConfigActivated configActivated(double rate) {
    Document d =
        new Document(
            "test",
            List.of("normal"),
            Map.of(),
            Map.of(ACCOUNT, new AccountEntry(ACCOUNT, rate, rate, 1)),
            List.of(),
            Map.of(),
            List.of());
    return new Event.ConfigActivated(new VersionedDocument(1, "change", "", d));
  }

  private record Message(long atNanos, MemberId from, Effect.Send send) {}
}
