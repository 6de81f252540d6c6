package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
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
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.ReportedLoad;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetIncarnation;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.model.ZoneId;

/** Checks the limit and the deadlines at the daemon of a target that reports its load. */
class ReportedLoadAdmissionTest {
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final ZoneId ZONE = new ZoneId("z");
  private static final int SLOTS = 20;
  private static final long USUAL_MILLIS = 200;

  /** Enough for the usual speed, too little for a host that is 2.5 times slower. */
  private static final long SHORT_MILLIS = 150;

  private final ManualClock clock = new ManualClock();
  private final List<Verdict.NotRun> refusals = new ArrayList<>();
  private final List<Ticket> admitted = new ArrayList<>();
  private AdmissionController admission;
  private int requests;

  ReportedLoadAdmissionTest() {
    restartDaemon();
  }

  @Test
  void aDaemonRestartedBesideABusyTargetUsesOnlyTheSlotsThatAreFree() {
    offer(5_000);
    report(15, 1);
    assertEquals(6, admission.load().limit());
    for (int i = 0; i < 9; i++) {
      offer(5_000);
    }
    assertEquals(6, admission.inFlight());
    clock.advance(Duration.ofMillis(20));
    report(6, 1);
    admission.handle(new Event.Tick(), now());
    assertEquals(SLOTS, admission.load().limit());
    assertEquals(10, admission.inFlight());
  }

  @Test
  void aTargetFullOfForeignRequestsStillGetsOneRequestSoThatItReports() {
    report(SLOTS, 1);
    assertEquals(1, admission.load().limit());
  }

  @Test
  void withoutAReportForASecondTheWholeLimitIsUsed() {
    report(15, 2.5);
    clock.advance(Duration.ofSeconds(1));
    admission.handle(new Event.Tick(), now());
    assertEquals(SLOTS, admission.load().limit());
    assertFalse(admission.load().hasSlowdown());
  }

  @Test
  void theSlowdownGoesBackWithTheLoadReport() {
    report(0, 2.5);
    assertEquals(2.5, admission.load().slowdown());
    assertEquals(2.5, admission.load("route").slowdown());
  }

  @Test
  void aDeadlineThatASlowHostCannotMeetIsRefusedAsNotRunAndMayBeTriedElsewhere() {
    learnServiceTime(1);
    offer(SHORT_MILLIS);
    assertEquals(List.of(), refusals);
    report(0, 2.5);
    offer(SHORT_MILLIS);
    assertEquals(1, refusals.size());
    assertEquals(ErrorCode.OVERLOADED, refusals.get(0).code());
    assertTrue(refusals.get(0).retryAfterMillis() > 0);
    offer(1_000);
    assertEquals(1, refusals.size());
  }

  @Test
  void aRequestThatIsRefusedForASlowHostPassesOnceTheSlowdownHasDecayed() {
    learnServiceTime(1);
    report(0, 2.5);
    offer(SHORT_MILLIS);
    clock.advance(Duration.ofSeconds(1));
    offer(SHORT_MILLIS);
    assertEquals(1, refusals.size());
  }

  @Test
  void theTimeOnASlowHostDoesNotCountAsTheUsualTime() {
    learnServiceTime(2.5);
    report(0, 1);
    offer(SHORT_MILLIS);
    assertEquals(List.of(), refusals);
  }

  @Test
  void aDeadlineThatNoHostCanMeetIsRefusedAsBefore() {
    learnServiceTime(1);
    report(0, 2.5);
    offer(USUAL_MILLIS / 4);
    assertEquals(ErrorCode.DEADLINE_EXCEEDED, refusals.get(0).code());
  }

  /** Guards against requests that a host faster than usual could do, refused for good. */
  @Test
  void aDeadlineThatAFastHostCanMeetIsNotRefused() {
    learnServiceTime(1);
    report(0, 0.4);
    offer(USUAL_MILLIS / 4);
    assertEquals(List.of(), refusals);
  }

  /**
   * Guards against a wrong figure of 1 percent, by which usual times look a hundred times longer.
   */
  @Test
  void aSlowdownFarBelowOneRefusesNothingThatCanBeDone() {
    for (int i = 0; i < 20; i++) {
      offer(5_000);
      clock.advance(Duration.ofMillis(USUAL_MILLIS));
      report(1, 0.01);
      admission.complete(admitted.remove(0), Completion.RESPONDED, now());
    }
    assertEquals(ReportedLoad.MIN_SLOWDOWN, admission.load().slowdown());
    offer(SHORT_MILLIS);
    assertEquals(List.of(), refusals);
  }

  @Test
  void withoutTheFourthFigureLimitAndDeadlinesAreAsBefore() {
    learnServiceTime(1);
    report(SLOTS, TargetLoad.SLOWDOWN_UNKNOWN);
    offer(SHORT_MILLIS);
    assertEquals(List.of(), refusals);
    assertEquals(new TargetLoad(SLOTS, 1, 0, Priority.NONE_SHED), admission.load());
  }

  private void learnServiceTime(double slowdown) {
    for (int i = 0; i < 20; i++) {
      offer(5_000);
      clock.advance(Duration.ofMillis((long) (USUAL_MILLIS * slowdown)));
      report(1, slowdown > 1 ? slowdown : TargetLoad.SLOWDOWN_UNKNOWN);
      admission.complete(admitted.remove(0), Completion.RESPONDED, now());
    }
  }

  private void restartDaemon() {
    admission =
        new AdmissionController(
            ZONE, new AdmissionSettings(FixedLimit::new, 1, WaitPolicy.OBJECTIVE_BASED, true));
    ServiceEntry entry = new ServiceEntry(SERVICE, 1_000, 1_000, 1_000, Set.of(), Optional.empty());
    Document d =
        new Document(
            "d",
            List.of("p"),
            Map.of(ZONE, new ZoneEntry(ZONE, "r", true)),
            Map.of(),
            List.of(),
            Map.of(SERVICE, entry),
            List.of());
    admission.handle(new Event.ConfigActivated(new VersionedDocument(1, "c", "", d)), now());
    admission.handle(
        new Event.TargetAnnounced(
            new TargetAnnouncement(
                SERVICE, new Endpoint("127.0.0.1", 1), "i", SLOTS, 1_000, 1, false, 0, 0)),
        now());
  }

  private void report(int running, double slowdown) {
    admission.recordTargetReport(
        new TargetIncarnation("i", 1), new ReportedLoad(running, 0, SLOTS, slowdown), now());
  }

  private void offer(long timeoutMillis) {
    Listener l = new Listener();
    l.ticket =
        Optional.of(admission.offer(context("r" + requests++, timeoutMillis), false, l, now()));
    if (l.isAdmitted) {
      admitted.add(l.ticket.get());
    }
  }

  private RequestContext context(String id, long timeoutMillis) {
    return new RequestContext(
        id,
        id,
        SERVICE,
        "route",
        Optional.empty(),
        Priority.HIGHEST,
        now() + Duration.ofMillis(timeoutMillis).toNanos(),
        true,
        Optional.empty(),
        0,
        0,
        0);
  }

  private long now() {
    return clock.getAsLong();
  }

  private final class Listener implements AdmissionListener {
    private Optional<Ticket> ticket = Optional.empty();
    private boolean isAdmitted;

    @Override
    public void admitted() {
      isAdmitted = true;
    }

    @Override
    public void refused(Verdict.NotRun verdict) {
      refusals.add(verdict);
    }
  }
}
