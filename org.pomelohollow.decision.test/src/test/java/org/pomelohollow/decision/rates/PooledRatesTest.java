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

/** Plays requests of one account at several daemons and counts what the fleet lets through. */
class PooledRatesTest {
  private static final AccountId ACCOUNT = new AccountId("account");
  private static final double RATE = 100;
  private static final long MILLI = 1_000_000L;
  private static final int DAEMONS = 6;

  /** What the platform allows in five seconds: rate and burst, a tenth more, and 20. */
  private static final double BOUND = (5 * RATE + RATE) * 1.1 + 20;

  private final Map<MemberId, PooledRates> daemons = new LinkedHashMap<>();
  private final Set<MemberId> down = new HashSet<>();
  private final List<Message> wire = new ArrayList<>();
  private final List<Long> granted = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(7);
  private long now;
  private int refused;

  @Test
  void aDemandBelowTheRateIsServed() {
    start();
    play(10_000, 0.8 * RATE, id -> true);
    assertTrue(refused <= granted.size() / 100, refused + " refused of " + granted.size());
  }

  @Test
  void allDaemonsTogetherStayWithinTheRate() {
    start();
    play(12_000, 5 * RATE, id -> true);
    assertBounded();
    assertTrue(granted.size() >= 0.9 * 12 * RATE, granted.size() + " granted");
  }

  @Test
  void trafficAtOneDaemonMayUseTheWholeRate() {
    start();
    MemberId one = daemons.keySet().iterator().next();
    play(10_000, 0.8 * RATE, one::equals);
    assertTrue(refused <= granted.size() / 50, refused + " refused of " + granted.size());
  }

  @Test
  void theRateHoldsWhileTheHomeDiesAndComesBack() {
    start();
    play(5_000, 3 * RATE, id -> true);
    MemberId home = home();
    down.add(home);
    play(1_500, 3 * RATE, id -> true);
    tellRosters();
    play(5_000, 3 * RATE, id -> true);
    down.clear();
    restart(home);
    tellRosters();
    play(5_000, 3 * RATE, id -> true);
    assertBounded();
  }

  @Test
  void bothPartsOfADividedFleetTogetherStayWithinTheRate() {
    start();
    play(5_000, 3 * RATE, id -> true);
    List<MemberId> all = List.copyOf(daemons.keySet());
    split = Optional.of(Set.copyOf(all.subList(0, 2)));
    tellRosters();
    play(8_000, 3 * RATE, id -> true);
    assertBounded();
  }

  @Test
  void afterARestartOfAllTheAccountIsServedAtOnce() {
    start();
    play(5_000, 0.8 * RATE, id -> true);
    List.copyOf(daemons.keySet()).forEach(this::restart);
    tellRosters();
    refused = 0;
    int before = granted.size();
    play(1_000, 0.8 * RATE, id -> true);
    assertTrue(refused <= 0.2 * RATE, refused + " refused");
    assertTrue(granted.size() - before >= 0.5 * RATE);
  }

  @Test
  void anAccountWithoutALimitNeedsNoHome() {
    PooledRates r = new PooledRates(id(0), e -> {});
    r.handle(configuration(AccountEntry.MAX_RATE), 0);
    List<QuotaResult> answers = new ArrayList<>();
    r.acquire(ACCOUNT, 0, answers::add);
    assertEquals(List.of(new QuotaResult.Granted()), answers);
  }

  private Optional<Set<MemberId>> split = Optional.empty();

  private void start() {
    for (int i = 0; i < DAEMONS; i++) {
      restart(id(i));
    }
    tellRosters();
  }

  private void restart(MemberId id) {
    PooledRates r =
        new PooledRates(
            id,
            e -> {
              if (e instanceof Effect.Send s) {
                wire.add(new Message(now + MILLI, id, s));
              }
            });
    daemons.put(id, r);
    r.handle(configuration(RATE), now);
  }

  private void tellRosters() {
    daemons.forEach((id, r) -> r.handle(new Event.RosterChanged(roster(id)), now));
  }

  private Roster roster(MemberId of) {
    List<Member> seen =
        daemons.keySet().stream()
            .filter(m -> !down.contains(m) && reaches(of, m))
            .map(
                m ->
                    new Member(
                        m, new Endpoint("10.0.0.1", 1), new ZoneId("a"), Optional.empty(), false))
            .toList();
    return Roster.of(of, seen);
  }

  private boolean reaches(MemberId a, MemberId b) {
    return split.map(s -> s.contains(a) == s.contains(b)).orElse(true);
  }

  private MemberId home() {
    play(100, RATE, id -> true);
    return daemons.entrySet().stream()
        .filter(e -> e.getValue().dump(now).toString().contains("home of"))
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow();
  }

  private void play(int millis, double perSecond, java.util.function.Predicate<MemberId> where) {
    List<MemberId> open = daemons.keySet().stream().filter(where).toList();
    for (int i = 0; i < millis; i++) {
      now += MILLI;
      deliver();
      if (i % 50 == 0) {
        daemons.forEach(
            (id, r) -> {
              if (!down.contains(id)) {
                r.handle(new Event.Tick(), now);
              }
            });
      }
      if (random.nextDouble() < perSecond / 1_000) {
        MemberId at = open.get(random.nextInt(open.size()));
        if (!down.contains(at)) {
          daemons.get(at).acquire(ACCOUNT, now, this::answered);
        }
      }
    }
  }

  private void answered(QuotaResult a) {
    if (a instanceof QuotaResult.Granted) {
      granted.add(now);
    } else {
      refused++;
    }
  }

  private void deliver() {
    List<Message> due = wire.stream().filter(m -> m.atNanos <= now).toList();
    wire.removeAll(due);
    for (Message m : due) {
      MemberId to = m.send.to();
      if (!down.contains(to) && !down.contains(m.from) && reaches(m.from, to)) {
        daemons.get(to).handle(new Event.MessageReceived(m.from, m.send.message()), now);
      }
    }
  }

  private void assertBounded() {
    int from = 0;
    for (int to = 0; to < granted.size(); to++) {
      while (granted.get(to) - granted.get(from) > 5_000 * MILLI) {
        from++;
      }
      assertTrue(to - from + 1 <= BOUND, (to - from + 1) + " in five seconds");
    }
  }

  private static MemberId id(int i) {
    return new MemberId("host-" + i, 1);
  }

  private static Event.ConfigInForce configuration(double rate) {
    Document d =
        new Document(
            "test",
            List.of("normal"),
            Map.of(),
            Map.of(ACCOUNT, new AccountEntry(ACCOUNT, rate, rate, 1)),
            List.of(),
            Map.of(),
            List.of());
    return new Event.ConfigInForce(new VersionedDocument(1, "change", "", d));
  }

  private record Message(long atNanos, MemberId from, Effect.Send send) {}
}
