package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.admission.AdmissionHarness.Request;
import org.pomelohollow.errors.ErrorCode;

class AdmissionControllerTest {
  private static final int STEPS = 400;
  private static final Completion[] COMPLETIONS = Completion.values();

  @Property(seed = "5", tries = 300)
  void limitsHoldAndEveryRequestEndsOnceForAnySequenceOfEvents(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    AdmissionHarness h = new AdmissionHarness();
    h.restart(20, random.nextBoolean());
    for (int i = 0; i < STEPS; i++) {
      applyRandomEvent(h, random);
    }
    h.advance(60_000);
    h.handle(new Event.Tick());
    assertEquals(List.of(), h.queued());
  }

  private static void applyRandomEvent(AdmissionHarness h, SplittableRandom random) {
    int slots = 1 + random.nextInt(30);
    boolean cold = random.nextInt(4) == 0;
    switch (random.nextInt(40)) {
      case 0 -> h.restart(slots, cold);
      case 1 -> h.announce(slots, cold);
      case 2 -> h.configure(slots, 1 + random.nextInt(5), random.nextInt(5) > 0);
      case 3 -> h.loseTarget();
      case 4 -> h.handle(new Event.TargetWithdrawn());
      case 5, 6 -> h.handle(new Event.Tick());
      case 7, 8 -> h.advance(random.nextInt(60));
      case 9, 10 -> pickOne(h.queued(), random).forEach(Request::cancel);
      default -> offerOrComplete(h, random);
    }
  }

  private static void offerOrComplete(AdmissionHarness h, SplittableRandom random) {
    if (random.nextBoolean()) {
      h.advance(random.nextInt(3));
      boolean responded = random.nextInt(8) > 0;
      Completion c =
          responded ? Completion.RESPONDED : COMPLETIONS[random.nextInt(COMPLETIONS.length)];
      pickOne(h.running(), random).forEach(r -> h.complete(r, c));
    } else {
      String account = "a" + random.nextInt(3);
      h.offer(random.nextInt(3), account, random.nextInt(5) == 0, random.nextInt(500));
    }
  }

  private static List<Request> pickOne(List<Request> l, SplittableRandom random) {
    return l.isEmpty() ? l : List.of(l.get(random.nextInt(l.size())));
  }

  @Property(seed = "6", tries = 200)
  void noCallWaitsWhileASlotIsFree(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    AdmissionHarness h = new AdmissionHarness();
    h.restart(20, false);
    for (int i = 0; i < STEPS; i++) {
      if (random.nextInt(5) < 2) {
        h.offer(random.nextInt(3), "a" + random.nextInt(3), false, 100_000);
      } else {
        pickOne(h.running(), random).forEach(r -> h.complete(r, Completion.RESPONDED));
      }
      boolean free = h.admission.inFlight() < h.admission.load().limit();
      assertFalse(free && !h.queued().isEmpty());
    }
  }

  @Property(seed = "7", tries = 200)
  void theLeastImportantIsShedFirst(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    AdmissionHarness h = new AdmissionHarness();
    h.restart(20, false);
    for (int i = 0; i < 100; i++) {
      h.offer(random.nextInt(3), "a" + random.nextInt(3), false, 100_000);
      int leastImportantRank =
          h.queued().stream().mapToInt(r -> r.context.priority().rank()).max().orElse(-1);
      h.requests.stream()
          .filter(r -> r.refused > 0 && !r.completed)
          .forEach(
              r -> {
                r.completed = true;
                assertTrue(r.context.priority().rank() >= leastImportantRank);
              });
    }
  }

  @Example
  void requestsFromBeforeARestartCountAgainstTheColdStartLimit() {
    AdmissionHarness h = warmTarget();
    List<Request> old = fillSlots(h);
    assertEquals(20, old.size());
    h.restart(20, false);
    h.offer(0, "a", false, 10_000);
    old.subList(0, 17).forEach(r -> h.complete(r, Completion.RESPONDED));
    assertEquals(3, h.running().size());
    assertEquals(1, h.queued().size());
    h.complete(old.get(17), Completion.RESPONDED);
    assertEquals(3, h.running().size());
    assertEquals(0, h.queued().size());
  }

  @Example
  void aTargetThatReturnsAfterAGapIsCold() {
    AdmissionHarness h = warmTarget();
    h.loseTarget();
    h.announce(20, false);
    assertEquals(3, h.admission.load().limit());
    AdmissionHarness h2 = warmTarget();
    h2.advance(5_000);
    h2.announce(20, false);
    assertEquals(3, h2.admission.load().limit());
  }

  @Example
  void aLatencyJumpRestartsTheColdStart() {
    AdmissionHarness h = warmTarget();
    for (int i = 0; i < 16; i++) {
      Request r = h.offer(0, "a", false, 10_000);
      h.advance(60);
      h.complete(r, Completion.RESPONDED);
    }
    assertEquals(3, h.admission.load().limit());
  }

  @Example
  void timeInOutboundCallsIsNoLatencyJump() {
    AdmissionHarness h = warmTarget();
    for (int i = 0; i < 16; i++) {
      Request r = h.offer(0, "a", false, 10_000);
      h.advance(10);
      AdmissionController.OutboundCall call =
          h.admission.startOutboundCall(r.context.requestId(), h.clock.getAsLong());
      h.advance(200);
      call.end(h.clock.getAsLong());
      h.complete(r, Completion.RESPONDED);
    }
    assertEquals(20, h.admission.load().limit());
  }

  @Example
  void anAnnouncedColdStartLastsUntilItsEndIsAnnounced() {
    AdmissionHarness h = warmTarget();
    h.announce(20, true);
    complete(h, 500);
    assertEquals(3, h.admission.load().limit());
    h.announce(20, false);
    complete(h, 500);
    assertEquals(20, h.admission.load().limit());
  }

  @Example
  void requestsThatCannotMeetTheirDeadlineAreRefusedUntilTheEstimateHasDecayed() {
    AdmissionHarness h = warmTarget();
    Request r = h.offer(0, "a", false, 2);
    assertEquals(ErrorCode.DEADLINE_EXCEEDED, r.verdict.orElseThrow().code());
    int refused = 1;
    while (h.offer(0, "a", false, 2).admitted == 0) {
      refused++;
    }
    assertTrue(refused < 200, () -> "still refused after " + 200);
  }

  @Example
  void anOutOfServiceZoneRefusesQueuedAndNewRequests() {
    AdmissionHarness h = warmTarget();
    List<Request> running = fillSlots(h);
    Request waiting = h.offer(0, "a", false, 10_000);
    h.configure(20, 3, false);
    assertEquals(ErrorCode.ZONE_OUT, waiting.verdict.orElseThrow().code());
    running.forEach(r -> h.complete(r, Completion.RESPONDED));
    assertEquals(ErrorCode.ZONE_OUT, h.offer(0, "a", false, 10_000).verdict.orElseThrow().code());
  }

  @Example
  void bulkRequestsHoldAtMostHalfOfTheSlotsAndAreNotStarved() {
    AdmissionHarness h = warmTarget();
    for (int i = 0; i < 20; i++) {
      h.offer(1, "a", true, 10_000);
    }
    assertEquals(10, h.running().size());
    for (int i = 0; i < 20; i++) {
      h.offer(1, "a", false, 10_000);
    }
    assertEquals(20, h.running().size());
    Request bulkRequest = h.running().stream().filter(r -> r.bulk).findFirst().orElseThrow();
    h.complete(bulkRequest, Completion.RESPONDED);
    assertEquals(10, h.running().stream().filter(r -> r.bulk).count());
  }

  /** Returns a harness whose target has left its cold start, after requests of 10 ms each. */
  private static AdmissionHarness warmTarget() {
    AdmissionHarness h = new AdmissionHarness();
    h.restart(20, false);
    complete(h, 500);
    assertEquals(20, h.admission.load().limit());
    return h;
  }

  private static void complete(AdmissionHarness h, int n) {
    for (int i = 0; i < n; i++) {
      Request r = h.offer(0, "a", false, 10_000);
      h.advanceWithAnnouncements(10);
      h.complete(r, Completion.RESPONDED);
    }
  }

  private static List<Request> fillSlots(AdmissionHarness h) {
    for (int i = 0; i < 20; i++) {
      h.offer(0, "a", false, 10_000);
    }
    return h.running();
  }
}
