package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.ColdStartRate;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.model.ZoneId;

/** Offers a burst to a target for which the operator states a request rate while it is cold. */
class ColdRateTest {
  private static final ServiceId SERVICE = new ServiceId("service");
  private static final ZoneId ZONE = new ZoneId("zone");
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int BURST = 30;

  private final AdmissionController admission =
      new AdmissionController(
          ZONE, new AdmissionSettings(FixedLimit::new, 1, WaitPolicy.OBJECTIVE_BASED, true));
  private int admitted;

  @Test
  void aTargetThatWasColdBeforeTheDocumentWasKnownIsLimited() {
    announce(3_000, 0);
    configure(true, NANOS_PER_SECOND / 10);
    offerBurst(NANOS_PER_SECOND / 10);
    assertTrue(admitted <= 4, admitted + " requests admitted at once");
  }

  @Test
  void aWarmTargetAdmitsTheBurst() {
    announce(0, 0);
    configure(true, NANOS_PER_SECOND / 10);
    offerBurst(NANOS_PER_SECOND / 10);
    assertEquals(BURST, admitted);
  }

  @Test
  void aTargetIsTreatedAsColdWhenItsZoneReturnsToService() {
    announce(0, 0);
    configure(false, NANOS_PER_SECOND);
    configure(true, 2 * NANOS_PER_SECOND);
    offerBurst(2 * NANOS_PER_SECOND);
    assertTrue(admitted <= 4, admitted + " requests admitted at once");
  }

  private void announce(long coldMillis, long now) {
    TargetAnnouncement a =
        new TargetAnnouncement(
            SERVICE, new Endpoint("10.0.0.1", 1), "i", 50, 1_000, 1, coldMillis > 0, coldMillis, 0);
    admission.handle(new Event.TargetAnnounced(a), now);
  }

  private void configure(boolean inService, long now) {
    ServiceEntry s =
        new ServiceEntry(
            SERVICE, 1_000, 1_000, 1, Set.of(), Optional.of(new ColdStartRate(3_000, 4.4)));
    Document d =
        new Document(
            "d",
            List.of("high"),
            Map.of(ZONE, new ZoneEntry(ZONE, "r", inService)),
            Map.of(),
            List.of(),
            Map.of(SERVICE, s),
            List.of());
    admission.handle(new Event.ConfigActivated(new VersionedDocument(now, "c", "", d)), now);
  }

  private void offerBurst(long now) {
    for (int i = 0; i < BURST; i++) {
      RequestContext c =
          new RequestContext(
              "r" + i,
              "r" + i,
              SERVICE,
              "route",
              Optional.empty(),
              Priority.HIGHEST,
              now + 10 * NANOS_PER_SECOND,
              true,
              Optional.empty(),
              i,
              0,
              0);
      admission.offer(c, false, new Counter(), now);
    }
  }

  private final class Counter implements AdmissionListener {
    @Override
    public void admitted() {
      admitted++;
    }

    @Override
    public void refused(Verdict.NotRun verdict) {
      // Only admitted requests are counted.
    }
  }
}
