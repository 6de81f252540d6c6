package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.ColdStartRate;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetNotice;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.model.ZoneId;

/** Offers more requests to a target than the request rate that it names in its responses. */
class NamedRequestRateTest {
  private static final ServiceId SERVICE = new ServiceId("service");
  private static final ZoneId ZONE = new ZoneId("zone");
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final long WINDOW_NANOS = 4 * NANOS_PER_SECOND;
  private static final long CONTACT_NANOS = 3 * NANOS_PER_SECOND;
  private static final long HELD_NANOS = 200 * NANOS_PER_MILLI;
  private static final int SLOTS = 36;

  private AdmissionController admission;
  private final List<Long> startedNanos = new ArrayList<>();
  private final List<Verdict.NotRun> refusals = new ArrayList<>();
  private final List<Running> running = new ArrayList<>();
  private Optional<Double> named = Optional.empty();
  private int offered;
  private long now = NANOS_PER_SECOND;

  NamedRequestRateTest() {
    restartDaemon();
  }

  @Test
  void aTargetGetsNoMoreThanTheRequestRateThatItNames() {
    for (double rate : new double[] {0, 0.5, 2, 8.8, 40}) {
      named = Optional.of(rate);
      startedNanos.clear();
      offerFor(3 * rate + 20, 20 * NANOS_PER_SECOND);
      assertWithin(rate, now - 20 * NANOS_PER_SECOND + CONTACT_NANOS);
    }
  }

  @Test
  void nearlyAllOfTheNamedRateIsUsed() {
    named = Optional.of(8.0);
    offerFor(40, 30 * NANOS_PER_SECOND);
    long from = now - 20 * NANOS_PER_SECOND;
    long started = startedNanos.stream().filter(t -> t >= from).count();
    assertTrue(started >= 0.9 * 8 * 20, started + " requests in 20 s");
  }

  @Test
  void requestsAboveTheRateAreRefusedAtOnceSoThatOtherTargetsCanServeThem() {
    named = Optional.of(8.0);
    offerFor(40, 5 * NANOS_PER_SECOND);
    refusals.clear();
    for (int i = 0; i < 10; i++) {
      admission.offer(context("b" + i), false, new Running(now), now);
    }
    assertTrue(refusals.size() >= 7, refusals.size() + " of 10 refused");
    assertTrue(refusals.stream().allMatch(v -> v.code() == ErrorCode.TARGET_RATE_LIMITED));
  }

  @Test
  void aDaemonThatRestartsBesideALimitedTargetKeepsToTheLimitThatEntryDaemonsKnow() {
    named = Optional.of(8.0);
    offerFor(40, 10 * NANOS_PER_SECOND);
    TargetNotice known = admission.notices().current().orElseThrow();
    running.clear();
    restartDaemon();
    assertTrue(admission.notices().adopt(known, now));
    offerFor(200, HELD_NANOS);
    offerFor(40, 10 * NANOS_PER_SECOND);
    assertWithin(8, CONTACT_NANOS);
  }

  @Test
  void aResponseWithoutALimitEndsIt() {
    named = Optional.of(2.0);
    offerFor(40, 5 * NANOS_PER_SECOND);
    named = Optional.empty();
    offerFor(40, 2 * NANOS_PER_SECOND);
    int startedBefore = startedNanos.size();
    int offeredBefore = offered;
    offerFor(40, 5 * NANOS_PER_SECOND);
    assertEquals(offered - offeredBefore, startedNanos.size() - startedBefore);
  }

  @Test
  void aResponseToAnEarlierRequestDoesNotEndTheLimit() {
    long sent = now;
    now += NANOS_PER_SECOND;
    respond(Optional.of(2.0), sent);
    respond(Optional.empty(), sent);
    assertEquals(
        Optional.of(2.0), admission.notices().current().flatMap(TargetNotice::requestsPerSecond));
  }

  @Test
  void aLimitOutlivesALostHeartbeatButNotTheIncarnation() {
    respond(Optional.of(2.0), now);
    admission.handle(new Event.TargetLost(SERVICE), now);
    announce(1);
    assertTrue(admission.notices().current().isPresent());
    announce(2);
    assertTrue(admission.notices().current().isEmpty());
  }

  @Test
  void anEntryDaemonsKnowledgeDoesNotReplaceWhatTheTargetItselfSaid() {
    respond(Optional.of(2.0), now);
    TargetNotice old = admission.notices().current().orElseThrow();
    now += NANOS_PER_SECOND;
    respond(Optional.empty(), now);
    admission.notices().adopt(old, now);
    assertTrue(admission.notices().current().isEmpty());
  }

  private void assertWithin(double rate, long fromNanos) {
    double allowed = 1.5 * rate * WINDOW_NANOS / NANOS_PER_SECOND + 5;
    for (long start : startedNanos) {
      long n =
          startedNanos.stream()
              .filter(t -> t >= Math.max(start, fromNanos) && t < start + WINDOW_NANOS)
              .count();
      assertTrue(n <= allowed, n + " requests in 4 s, allowed " + allowed);
    }
  }

  private void restartDaemon() {
    admission =
        new AdmissionController(
            ZONE, new AdmissionSettings(FixedLimit::new, 1, WaitPolicy.OBJECTIVE_BASED, true));
    Optional<ColdStartRate> whenCold = Optional.of(new ColdStartRate(3_000, 4.4));
    ServiceEntry s = new ServiceEntry(SERVICE, 1_000, 1_000, 1, Set.of(), whenCold);
    Document d =
        new Document(
            "d",
            List.of("high"),
            Map.of(ZONE, new ZoneEntry(ZONE, "r", true)),
            Map.of(),
            List.of(),
            Map.of(SERVICE, s),
            List.of());
    announce(1);
    admission.handle(new Event.ConfigActivated(new VersionedDocument(1, "c", "", d)), now);
  }

  private void announce(long startedMillis) {
    TargetAnnouncement a =
        new TargetAnnouncement(
            SERVICE, new Endpoint("10.0.0.1", 1), "i", SLOTS, 1_000, startedMillis, false, 0, 0);
    admission.handle(new Event.TargetAnnounced(a), now);
  }

  private void offerFor(double perSecond, long durationNanos) {
    SplittableRandom random = new SplittableRandom(17);
    for (long end = now + durationNanos; now < end; now += NANOS_PER_MILLI) {
      if (random.nextDouble() < perSecond / 1_000) {
        Running r = new Running(now);
        r.ticket = admission.offer(context("r" + offered++), false, r, now);
      }
      endRunning();
      if (now / NANOS_PER_MILLI % 50 == 0) {
        announce(1);
        admission.handle(new Event.Tick(), now);
      }
    }
  }

  private void endRunning() {
    running.stream()
        .filter(r -> now - r.sentNanos >= HELD_NANOS)
        .toList()
        .forEach(
            r -> {
              running.remove(r);
              respond(named, r.sentNanos);
              admission.complete(r.ticket, Completion.RESPONDED, now);
            });
  }

  private void respond(Optional<Double> rate, long sentNanos) {
    TargetAnnouncement a =
        new TargetAnnouncement(
            SERVICE, new Endpoint("10.0.0.1", 1), "i", SLOTS, 1_000, 1, false, 0, 0);
    admission
        .notices()
        .recordResponse(new TargetNotice(a.incarnation(), rate, false), sentNanos, now);
  }

  private RequestContext context(String id) {
    return new RequestContext(
        id,
        id,
        SERVICE,
        "route",
        Optional.empty(),
        Priority.HIGHEST,
        now + 2 * NANOS_PER_SECOND,
        true,
        Optional.empty(),
        0,
        0,
        0);
  }

  private final class Running implements AdmissionListener {
    private long sentNanos;
    private Ticket ticket;

    Running(long sentNanos) {
      this.sentNanos = sentNanos;
    }

    @Override
    public void admitted() {
      sentNanos = now;
      startedNanos.add(now);
      running.add(this);
    }

    @Override
    public void refused(Verdict.NotRun verdict) {
      refusals.add(verdict);
    }
  }
}
