package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.PathPattern;
import org.pomelohollow.document.RouteEntry;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.document.WeightedService;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.ReportedLoad;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetIncarnation;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.model.ZoneId;

/**
 * Guards against requests of a short burst that are refused although they would start in time, and
 * against requests that wait in vain.
 */
class EstimatedWaitTest {
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final ZoneId ZONE = new ZoneId("a");
  private static final int SLOTS = 10;
  private static final long MILLI = 1_000_000;
  private static final long HELD_NANOS = 100 * MILLI;
  private static final long OBJECTIVE_MILLIS = 1_200;

  private long now = 3_600_000 * MILLI;
  private String account = "acc";
  private int offered;
  private int ruleCalls;

  @Test
  void requestsWaitAThirdOfTheObjectiveAndTheRestIsRefusedOnArrival() {
    AdmissionController a = admission(true);
    List<Boolean> refused = offer(a, 60, 0);
    // 10 run; 10 slots of 100 ms take 40 requests in a third of 1,200 ms.
    assertEquals(9, refused.stream().filter(r -> r).count());
    assertEquals(41, a.load().queued());
    now += 390 * MILLI;
    a.handle(new Event.Tick(), now);
    assertEquals(41, a.load().queued());
    now += 20 * MILLI;
    a.handle(new Event.Tick(), now);
    assertEquals(0, a.load().queued());
  }

  @Test
  void callsOfTargetsAreNotRefusedByTheEstimate() {
    AdmissionController a = admission(true);
    assertEquals(0, offer(a, 20, 1).stream().filter(r -> r).count());
    assertEquals(10, a.load().queued());
  }

  /** Guards against a small account's requests that are refused for the queue of a flood. */
  @Test
  void theQueueOfAnotherAccountDoesNotCountAgainstASmallOne() {
    AdmissionController a = admission(true);
    assertEquals(9, offer(a, 60, 0).stream().filter(r -> r).count());
    account = "small";
    assertEquals(0, offer(a, 3, 0).stream().filter(r -> r).count());
    account = "acc";
    assertEquals(3, offer(a, 3, 0).stream().filter(r -> r).count());
  }

  /** Guards against calls, which have their parent's account, that get the longer queue. */
  @Test
  void callsOfTargetsGetNoLongerQueueWhereWaitsAreEstimated() {
    AdmissionController a = admission(true);
    assertEquals(10, offer(a, 30, 1).stream().filter(r -> r).count());
    assertEquals(10, a.load().queued());
  }

  /** Guards against calls that count less than fully in the pressure. */
  @Test
  void queuedCallsCountFullyInThePressure() {
    assertEquals(pressureAfterBurst(false, 1), pressureAfterBurst(true, 1));
  }

  @Test
  void theBoundIsAnEighthWhereTargetsReportNoSlowdown() {
    AdmissionController a = admission(false);
    assertEquals(0, offer(a, 20, 0).stream().filter(r -> r).count());
    assertEquals(10, offer(a, 10, 0).stream().filter(r -> r).count());
    now += 151 * MILLI;
    a.handle(new Event.Tick(), now);
    assertEquals(0, a.load().queued());
  }

  @Test
  void pressureRisesLessWhileAQueueIsAllowed() {
    assertTrue(pressureAfterBurst(true, 0) < 0.75 * pressureAfterBurst(false, 0));
  }

  /** Guards against reports that change something although they carry no slowdown. */
  @Test
  void aReportWithoutASlowdownChangesNothing() {
    AdmissionController a = admission(false);
    offer(a, 20, 0);
    now += 110 * MILLI;
    double pressure = a.load("r").pressure();
    ReportedLoad r = new ReportedLoad(SLOTS, 0, SLOTS, TargetLoad.SLOWDOWN_UNKNOWN);
    assertFalse(a.recordTargetReport(new TargetIncarnation("i", 0), r, now));
    assertEquals(pressure, a.load("r").pressure());
  }

  /** Guards against a load report that is built several times for each request. */
  @Test
  void theRuleIsEvaluatedOnceForEachRequest() {
    AdmissionController a = admission(true);
    int before = ruleCalls;
    offer(a, 1, 0);
    assertEquals(1, ruleCalls - before);
  }

  private double pressureAfterBurst(boolean scarce, int depth) {
    AdmissionController a = admission(scarce);
    offer(a, 20, depth);
    now += 110 * MILLI;
    a.handle(new Event.Tick(), now);
    return a.load("r").pressure();
  }

  private AdmissionController admission(boolean scarce) {
    AdmissionController a =
        new AdmissionController(
            ZONE,
            new AdmissionSettings(
                FixedLimit::new,
                1,
                WaitPolicy.OBJECTIVE_BASED,
                true,
                l -> {
                  ruleCalls++;
                  return scarce;
                }));
    Document d =
        new Document(
            "d",
            List.of("high"),
            Map.of(ZONE, new ZoneEntry(ZONE, "r", true)),
            Map.of(),
            List.of(),
            Map.of(SERVICE, new ServiceEntry(SERVICE, SLOTS, 400, SLOTS)),
            List.of(route("r", false), route("calls", true)));
    a.handle(
        new Event.TargetAnnounced(
            new TargetAnnouncement(
                SERVICE, new Endpoint("127.0.0.1", 1), "i", SLOTS, 400, false, 0)),
        now);
    a.handle(new Event.ConfigActivated(new VersionedDocument(1, "c", "", d)), now);
    for (int i = 0; i < 10; i++) {
      Ticket t = a.offer(context(0), false, new Outcome(), now);
      now += HELD_NANOS;
      a.complete(t, Completion.RESPONDED, now);
    }
    return a;
  }

  private List<Boolean> offer(AdmissionController a, int count, int depth) {
    List<Outcome> outcomes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Outcome o = new Outcome();
      outcomes.add(o);
      a.offer(context(depth), false, o, now);
    }
    return outcomes.stream().map(o -> o.refused).toList();
  }

  private RequestContext context(int depth) {
    String id = "r" + offered++;
    return new RequestContext(
        id,
        id,
        SERVICE,
        depth == 0 ? "r" : "calls",
        Optional.of(new AccountId(account)),
        new Priority(0),
        now + 60_000 * MILLI,
        true,
        Optional.empty(),
        0,
        0,
        depth);
  }

  private static RouteEntry route(String name, boolean open) {
    return new RouteEntry(
        name,
        Optional.empty(),
        List.of(new WeightedService(SERVICE, 1)),
        Set.of("GET"),
        PathPattern.ofPrefix("/" + name + "/"),
        new Priority(0),
        true,
        open,
        60_000,
        false,
        1,
        OBJECTIVE_MILLIS);
  }

  private static final class Outcome implements AdmissionListener {
    private boolean refused;

    @Override
    public void admitted() {
      // The request runs until the test ends.
    }

    @Override
    public void refused(Verdict.NotRun verdict) {
      refused = true;
    }
  }
}
