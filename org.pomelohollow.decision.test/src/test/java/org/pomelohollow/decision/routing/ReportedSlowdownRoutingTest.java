package org.pomelohollow.decision.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.ZoneId;

/** Checks which of two targets gets a request where their hosts report slowdowns. */
class ReportedSlowdownRoutingTest {
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final ZoneId ZONE = new ZoneId("z");
  private static final int LIMIT = 10;
  private static final long USUAL_NANOS = 200_000_000L;

  /** Time of a request on a host with a slowdown of 2.5. */
  private static final long SLOW_NANOS = 500_000_000L;

  private final ManualClock clock = new ManualClock();
  private Router router;
  private final List<Member> members = IntStream.range(0, 2).mapToObj(this::member).toList();

  ReportedSlowdownRoutingTest() {
    restart();
  }

  private void restart() {
    router = new Router(new SplittableRandom(1), new ZoneSpill(new SplittableRandom(2), e -> {}));
    Document d =
        new Document(
            "d",
            List.of("p"),
            Map.of(ZONE, new ZoneEntry(ZONE, "r", true)),
            Map.of(),
            List.of(),
            Map.of(),
            List.of());
    router.handle(new Event.ConfigActivated(new VersionedDocument(1, "c", "", d)), now());
    router.handle(new Event.RosterChanged(Roster.of(members.get(0).id(), members)), now());
  }

  @Example
  void aHostThatIsSlowNowGetsNoRequestsWhileTheOtherHasRoom() {
    respond(0, SLOW_NANOS, 0, 2.5);
    respond(1, USUAL_NANOS, LIMIT / 2, 1);
    assertEquals(1, chosen());
  }

  @Example
  void aSlowHostIsChosenBeforeOneWithALongQueue() {
    respond(0, SLOW_NANOS, 0, 2.5);
    respond(1, USUAL_NANOS, 2 * LIMIT, 1);
    assertEquals(0, chosen());
  }

  @Example
  void aSlowdownOfThePastIsNotCountedTwice() {
    for (int i = 0; i < 100; i++) {
      respond(0, SLOW_NANOS, 0, 2.5);
      respond(1, USUAL_NANOS, LIMIT / 5, 1);
    }
    respond(0, USUAL_NANOS, 0, 1);
    assertEquals(0, chosen());
  }

  @Example
  void theEffectOfASlowdownDecays() {
    respond(0, SLOW_NANOS, 0, 2.5);
    respond(1, USUAL_NANOS, LIMIT / 2, 1);
    clock.advance(Duration.ofMillis(700));
    assertEquals(0, chosen());
  }

  @Example
  void afterASecondWithoutAReportTheRouterIsAsWithoutSlowdowns() {
    respond(0, SLOW_NANOS, 0, 2.5);
    respond(1, USUAL_NANOS * 115 / 100, 0, 1);
    router.attemptStarted(members.get(1).id(), clock.getAsLong());
    assertEquals(1, chosen());
    clock.advance(Duration.ofMillis(999));
    assertEquals(0, chosen());
    // Without the slowdowns the mean latency, of the slow phase, decides again.
    clock.advance(Duration.ofMillis(1));
    assertEquals(1, chosen());
  }

  @Example
  void aMemberWithoutAReportCountsAsOneAtItsUsualSpeed() {
    respond(0, SLOW_NANOS, 0, 2.5);
    respond(1, USUAL_NANOS, 1, TargetLoad.SLOWDOWN_UNKNOWN);
    assertEquals(1, chosen());
  }

  /** Guards against a target that gets nothing for good because its first response was late. */
  @Example
  void aTargetWhoseFirstResponseWasLateIsSampledAgain() {
    respond(0, 5 * USUAL_NANOS, 0, 1);
    respond(1, USUAL_NANOS, LIMIT / 2, 1);
    assertEquals(1, chosen());
    for (int i = 0; i < 60; i++) {
      respond(1, USUAL_NANOS, LIMIT / 2, 1);
      clock.advance(Duration.ofMillis(100));
    }
    assertEquals(0, chosen());
  }

  /** Guards against a target with one slot that gets as much as one with many. */
  @Example
  void anIdleTargetWithOneSlotIsChosenAfterOneWithMany() {
    Member large = members.get(1);
    List<Member> unequal = List.of(member(0, 1), member(1, 50));
    router.handle(new Event.RosterChanged(Roster.of(large.id(), unequal)), now());
    respond(0, USUAL_NANOS, 0, 1);
    respond(1, USUAL_NANOS, 0, 1);
    assertEquals(1, chosen());
  }

  /** Guards against changes where no target reports a slowdown: cost as before it was known. */
  @Property(seed = "7", tries = 1_000)
  void withoutSlowdownsTheChoiceIsByUtilizationTimesLatency(@ForAll long seed) {
    restart();
    SplittableRandom r = new SplittableRandom(seed);
    double[] costs = new double[2];
    for (int i = 0; i < 2; i++) {
      long latency = 1_000_000L * (1 + r.nextInt(500));
      int load = r.nextInt(3 * LIMIT);
      respondOnce(i, latency, load);
      costs[i] = (load / (double) LIMIT + 1.0 / LIMIT) * latency;
    }
    if (costs[0] != costs[1]) {
      assertEquals(costs[0] < costs[1] ? 0 : 1, chosen(), () -> costs[0] + " " + costs[1]);
    }
  }

  private void respondOnce(int member, long latencyNanos, int load) {
    respond(member, latencyNanos, load, TargetLoad.SLOWDOWN_UNKNOWN);
  }

  private void respond(int member, long latencyNanos, int load, double slowdown) {
    MemberId id = members.get(member).id();
    router.attemptStarted(id, clock.getAsLong());
    TargetLoad l = new TargetLoad(LIMIT, load, 0, Priority.NONE_SHED, 0, slowdown);
    router.attemptEnded(
        id,
        new AttemptResult(AttemptResult.Outcome.RESPONDED, latencyNanos, Optional.of(l)),
        now());
  }

  /** Returns the member that is chosen each time. */
  private int chosen() {
    MemberId first = router.choose(SERVICE, Set.of(), now()).orElseThrow();
    for (int i = 0; i < 20; i++) {
      assertEquals(Optional.of(first), router.choose(SERVICE, Set.of(), now()));
    }
    return members.get(0).id().equals(first) ? 0 : 1;
  }

  private Member member(int i) {
    return member(i, LIMIT);
  }

  private Member member(int i, int limit) {
    TargetState s = new TargetState(SERVICE, limit, limit, false, false);
    return new Member(
        new MemberId("h" + i, 1), new Endpoint("127.0.0.1", 1), ZONE, Optional.of(s), false);
  }

  private long now() {
    return clock.getAsLong();
  }
}
