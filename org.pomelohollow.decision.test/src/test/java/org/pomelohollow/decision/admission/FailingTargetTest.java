package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ReportedLoad;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.ZoneId;

/** Checks what a daemon advertises of a target that fails requests while it sends heartbeats. */
class FailingTargetTest {
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final int SLOTS = 64;
  private static final double USUAL_SPEED = 1;

  private final AdmissionController admission =
      new AdmissionController(
          new ZoneId("z"),
          new AdmissionSettings(FixedLimit::new, 1, WaitPolicy.OBJECTIVE_BASED, true));
  private long now = TimeUnit.HOURS.toNanos(1);

  @Example
  void aTargetThatFailsItsRequestsIsAdvertisedWithAFractionOfItsLimit() {
    start();
    report(USUAL_SPEED);
    end(10, Completion.RESPONDED, true);
    assertTrue(admission.isTargetFailing());
    assertEquals(SLOTS / 8, admission.load().limit());
  }

  /** Guards against a target that hangs: it reports nothing any more when time limits pass. */
  @Example
  void aTargetThatStoppedRespondingCountsAsFailingThoughItsReportsAreOld() {
    start();
    report(USUAL_SPEED);
    end(1, Completion.RESPONDED, false);
    now += TimeUnit.SECONDS.toNanos(3);
    end(10, Completion.TIMED_OUT, false);
    assertTrue(admission.isTargetFailing());
  }

  @Example
  void withoutReportedSlowdownsNothingChanges() {
    start();
    report(TargetLoad.SLOWDOWN_UNKNOWN);
    end(100, Completion.RESPONDED, true);
    assertFalse(admission.isTargetFailing());
    assertEquals(SLOTS, admission.load().limit());
  }

  @Example
  void callersThatLeaveSayNothingOfTheTarget() {
    start();
    report(USUAL_SPEED);
    end(100, Completion.CANCELLED, false);
    assertFalse(admission.isTargetFailing());
  }

  private void start() {
    ServiceEntry s = new ServiceEntry(SERVICE, SLOTS, SLOTS, SLOTS);
    Document d =
        new Document(
            "d", List.of("p"), Map.of(), Map.of(), List.of(), Map.of(SERVICE, s), List.of());
    admission.handle(new Event.ConfigActivated(new VersionedDocument(1, "c", "", d)), now);
    admission.handle(new Event.TargetAnnounced(announcement()), now);
  }

  private static TargetAnnouncement announcement() {
    return new TargetAnnouncement(
        SERVICE, new Endpoint("127.0.0.1", 1), "i", SLOTS, SLOTS, false, 0);
  }

  private void report(double slowdown) {
    admission.recordTargetReport(
        announcement().incarnation(), new ReportedLoad(0, 0, SLOTS, slowdown), now);
  }

  private void end(int count, Completion c, boolean failure) {
    for (int i = 0; i < count; i++) {
      now += TimeUnit.MILLISECONDS.toNanos(1);
      admission.recordTargetResult(c, failure, now);
    }
  }
}
