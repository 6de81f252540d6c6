package org.pomelohollow.decision.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

class ZoneSpillTest {
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final double WORK_NANOS = 100e6;
  private static final int CHOICES = 1_000;

  private final ManualClock clock = new ManualClock();
  private final List<Effect> effects = new ArrayList<>();
  private final ZoneSpill spill = new ZoneSpill(new SplittableRandom(1), effects::add);

  /** Guards against a zone without free capacity that keeps its requests. */
  @Example
  void theShareRisesQuicklyWhileTheOwnZoneIsFull() {
    update(10, 1.2, 0.3);
    assertTrue(spill.share(SERVICE) > 0.5, () -> "share " + spill.share(SERVICE));
  }

  /** Guards against reversals: the share holds in the dead band, and falls slowly below it. */
  @Example
  void theShareHoldsInTheDeadBandAndFallsSlowlyBelowIt() {
    update(5, 1.2, 0.3);
    double share = spill.share(SERVICE);
    update(20, 0.85, 0.3);
    assertEquals(share, spill.share(SERVICE));
    update(5, 0.6, 0.3);
    assertTrue(spill.share(SERVICE) > share / 2 && spill.share(SERVICE) < share);
    update(50, 0.6, 0.3);
    assertEquals(0, spill.share(SERVICE));
  }

  /** Guards against steps that are larger than what their effect has shown. */
  @Example
  void theShareRisesMoreSlowlyForLongRequests() {
    update(3, 1.2, 0.3);
    double shareOfShort = spill.share(SERVICE);
    ServiceId slow = new ServiceId("slow");
    for (int i = 0; i < 3; i++) {
      clock.advance(Duration.ofMillis(100));
      spill.update(
          slow, load("z0", 1.2, 8 * WORK_NANOS), others(0.3, 8 * WORK_NANOS), clock.getAsLong());
    }
    assertTrue(spill.share(slow) < shareOfShort / 2);
  }

  /** Guards against zones that exchange requests although neither has room. */
  @Example
  void requestsStayWhenAllZonesAreFull() {
    update(10, 1.2, 1.1);
    assertEquals(0, spill.share(SERVICE));
    assertEquals(0, leaving(pick(1.2), pick(1.1), 0));
  }

  /** Guards against a flood to zones from which no report has come for a second. */
  @Example
  void littleIsSentToZonesWhoseLoadIsUnknown() {
    for (int i = 0; i < 20; i++) {
      clock.advance(Duration.ofMillis(100));
      ZonePolicy.ZoneLoad unknown = new ZonePolicy.ZoneLoad(new ZoneId("z1"), 100, 0, 0, false);
      spill.update(SERVICE, load("z0", 1.2, WORK_NANOS), List.of(unknown), clock.getAsLong());
    }
    assertEquals(0.05, spill.share(SERVICE), 1e-9);
  }

  /** Guards against requests that are lost because the share outlives the link to other zones. */
  @Example
  void theShareIsCutWhenTheOtherZonesNoLongerReport() {
    update(10, 1.2, 0.3);
    clock.advance(Duration.ofMillis(100));
    ZonePolicy.ZoneLoad unknown = new ZonePolicy.ZoneLoad(new ZoneId("z1"), 100, 0, 0, false);
    spill.update(SERVICE, load("z0", 0.85, WORK_NANOS), List.of(unknown), clock.getAsLong());
    assertEquals(0.05, spill.share(SERVICE), 1e-9);
  }

  /** Guards against a share that outlives the load that it was adapted to. */
  @Example
  void theShareFallsWithoutReportsOfTheOwnZone() {
    update(10, 1.2, 0.3);
    for (int i = 0; i < 60; i++) {
      clock.advance(Duration.ofMillis(100));
      ZonePolicy.ZoneLoad unknown = new ZonePolicy.ZoneLoad(new ZoneId("z0"), 100, 0, 0, false);
      spill.update(SERVICE, unknown, others(0.3, WORK_NANOS), clock.getAsLong());
    }
    assertEquals(0, spill.share(SERVICE));
  }

  /** Guards against all-or-nothing: some requests stay while the own zone has some free slots. */
  @Example
  void theShareOfRequestsThatMeetAFullTargetFollowsTheZone() {
    update(1, 0.95, 0.3);
    int some = leaving(pick(1), pick(0.3), 0);
    assertTrue(some > 0.4 * CHOICES && some < 0.6 * CHOICES, () -> "leaving " + some);
    update(1, 1, 0.3);
    assertEquals(CHOICES, leaving(pick(1), pick(0.3), 0));
  }

  /** Guards against first attempts that stay at a full target because nothing reports at home. */
  @Example
  void requestsAtAFullTargetLeaveWithoutReportsOfTargetOrZone() {
    update(1, 0.5, 0.3);
    ZonePolicy.Pick silent = new ZonePolicy.Pick(1.2, 1.25, 1.25 * WORK_NANOS, false);
    assertEquals(CHOICES, leaving(silent, pick(0.3), 0));
    assertEquals(0, leaving(pick(1.2), pick(0.3), 0));
    clock.advance(Duration.ofMillis(100));
    ZonePolicy.ZoneLoad unknown = new ZonePolicy.ZoneLoad(new ZoneId("z0"), 100, 0, 0, false);
    spill.update(SERVICE, unknown, others(0.3, WORK_NANOS), clock.getAsLong());
    assertEquals(CHOICES, leaving(pick(1.2), pick(0.3), 0));
  }

  /** Guards against a zone that keeps an excess of three times its slots beside shorter queues. */
  @Example
  void mostOfTheExcessLeavesForZonesThatAreFullButLessSo() {
    update(10, 3, 1);
    int n = leaving(pick(3), pick(1), 0);
    assertTrue(n > 0.5 * CHOICES && n < 0.75 * CHOICES, () -> "leaving " + n);
    assertEquals(0, leaving(pick(1), pick(3), 0));
    update(10, 1.4, 1.3);
    assertEquals(0, leaving(pick(3), pick(1), 0));
  }

  /** Guards against bodies that cost more than the wait that they avoid. */
  @Example
  void aLongBodyStaysWhereAShortOneLeaves() {
    update(10, 1.2, 0.3);
    assertEquals(CHOICES, leaving(pick(1.2), pick(0.3), 60_000));
    assertEquals(0, leaving(pick(1.2), pick(0.3), 1_000_000));
  }

  /** Guards against a request that was refused at home and has no way out. */
  @Example
  void aRefusedRequestMayLeaveRegardlessOfTheShare() {
    update(1, 0.75, 0.3);
    assertFalse(spill.leaves(choice(pick(0.75), pick(0.3), 0, false)));
    assertTrue(spill.leaves(choice(pick(1.1), pick(0.3), 0, true)));
  }

  /** Guards against noise in latencies that sends requests out, and a slow zone that keeps them. */
  @Example
  void aBusyZoneThatIsClearlySlowerSendsRequestsOut() {
    updateSpeeds(1.2 * WORK_NANOS, WORK_NANOS);
    assertEquals(0, spill.share(SERVICE));
    updateSpeeds(2 * WORK_NANOS, WORK_NANOS);
    assertTrue(spill.share(SERVICE) > 0);
  }

  /** Guards against a small zone that gets as much as a large one. */
  @Example
  void requestsSpreadOverTheOtherZonesByFreeSlots() {
    clock.advance(Duration.ofMillis(100));
    spill.update(
        SERVICE,
        load("z0", 1.2, WORK_NANOS),
        List.of(load("z1", 0.3, WORK_NANOS), load("z2", 0.7, WORK_NANOS)),
        clock.getAsLong());
    Map<ZoneId, Integer> n = new HashMap<>();
    for (int i = 0; i < CHOICES; i++) {
      n.merge(spill.chooseZone(SERVICE).orElseThrow(), 1, Integer::sum);
    }
    assertEquals(0.75, n.get(new ZoneId("z1")) / (double) CHOICES, 0.05);
  }

  /** Guards against a log line for each request, and a stop that nobody sees. */
  @Example
  void oneLineEachTellsOfTheStartAndTheStop() {
    update(10, 1.2, 0.3);
    for (int i = 0; i < 100; i++) {
      spill.recordSentOutside(SERVICE, clock.getAsLong());
      clock.advance(Duration.ofMillis(50));
      spill.handle(new Event.Tick(), clock.getAsLong());
    }
    assertEquals(1, effects.size());
    clock.advance(Duration.ofSeconds(29));
    spill.handle(new Event.Tick(), clock.getAsLong());
    assertEquals(1, effects.size());
    clock.advance(Duration.ofSeconds(1));
    spill.handle(new Event.Tick(), clock.getAsLong());
    spill.handle(new Event.Tick(), clock.getAsLong());
    assertEquals(2, effects.size());
    assertTrue(effects.get(1) instanceof Effect.LogLine l && l.prefix().equals("zones"));
    assertEquals(100, spill.sentOutside(SERVICE));
    assertEquals("zones", spill.dump(clock.getAsLong()).part());
    assertEquals("s", spill.dump(clock.getAsLong()).lines().get(0).name());
  }

  private void update(int times, double own, double other) {
    for (int i = 0; i < times; i++) {
      clock.advance(Duration.ofMillis(100));
      spill.update(
          SERVICE, load("z0", own, WORK_NANOS), others(other, WORK_NANOS), clock.getAsLong());
    }
  }

  private void updateSpeeds(double ownNanos, double otherNanos) {
    clock.advance(Duration.ofMillis(100));
    spill.update(SERVICE, load("z0", 0.8, ownNanos), others(0.3, otherNanos), clock.getAsLong());
  }

  private int leaving(ZonePolicy.Pick own, ZonePolicy.Pick other, long bodyBytes) {
    int n = 0;
    for (int i = 0; i < CHOICES; i++) {
      n += spill.leaves(choice(own, other, bodyBytes, false)) ? 1 : 0;
    }
    return n;
  }

  private static ZonePolicy.Choice choice(
      ZonePolicy.Pick own, ZonePolicy.Pick other, long bodyBytes, boolean retry) {
    return new ZonePolicy.Choice(SERVICE, own, other, false, bodyBytes, retry);
  }

  private static ZonePolicy.Pick pick(double utilization) {
    double next = utilization + 0.05;
    return new ZonePolicy.Pick(utilization, next, WORK_NANOS * Math.max(1, next), true);
  }

  private static List<ZonePolicy.ZoneLoad> others(double utilization, double nanos) {
    return List.of(load("z1", utilization, nanos));
  }

  private static ZonePolicy.ZoneLoad load(String zone, double utilization, double nanos) {
    return new ZonePolicy.ZoneLoad(new ZoneId(zone), 100, utilization, nanos, true);
  }
}
