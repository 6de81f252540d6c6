package org.pomelohollow.decision.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.admission.ThroughputLimit;
import org.pomelohollow.decision.claim.ClaimController;
import org.pomelohollow.decision.claim.ClaimSettings;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.decision.quarantine.QuarantineController;
import org.pomelohollow.decision.quarantine.QuarantineSettings;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.junit.Configurations;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.junit.RecordedEffects;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.model.ZoneId;

class GuardClaimTest {
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final Endpoint ADDRESS = new Endpoint("127.0.0.1", 1);
  private static final RecordedResponse RESPONSE = new RecordedResponse(201, List.of(), "");

  private final ManualClock clock = new ManualClock();
  private final RecordedEffects effects = new RecordedEffects();
  private final AdmissionController admission =
      new AdmissionController(new ZoneId("z"), new ThroughputLimit());
  private final MemberId self = new MemberId("h", 1);
  private final ClaimController claims = new ClaimController(self, ClaimSettings.DEFAULT, effects);
  private final QuarantineController quarantine =
      new QuarantineController(self, QuarantineSettings.DEFAULT, new SplittableRandom(1), effects);
  private final Guard guard =
      new Guard(
          new Guard.Dependencies(admission, claims, quarantine, new RunningRequests(), clock));
  private final List<String> outcomes = new ArrayList<>();
  private int requests;

  GuardClaimTest() {
    VersionedDocument v = Configurations.oneService(SERVICE, new ZoneId("z"), 10);
    admission.handle(new Event.ConfigActivated(v), clock.getAsLong());
    TargetAnnouncement a = new TargetAnnouncement(SERVICE, ADDRESS, "i", 10, 10, false, 0);
    admission.handle(new Event.TargetAnnounced(a), clock.getAsLong());
    startRing(1);
  }

  /** Forms a claim ring of this daemon and other members, which never reply. */
  private void startRing(int members) {
    List<Member> ring = new ArrayList<>();
    for (int i = 1; i <= members; i++) {
      MemberId id = new MemberId(i == 1 ? "h" : "z" + i, 1);
      Optional<TargetState> target =
          id.equals(self)
              ? Optional.of(new TargetState(SERVICE, 10, 10, false, false))
              : Optional.empty();
      ring.add(new Member(id, ADDRESS, new ZoneId("a"), target, false));
    }
    long now = clock.advance(Duration.ofSeconds(1));
    claims.handle(new Event.RosterChanged(Roster.of(self, ring)), now);
    quarantine.handle(new Event.RosterChanged(Roster.of(self, ring)), now);
    read(List.of());
    claims.handle(new Event.Tick(), now);
    LogEntry e = effects.take(Effect.Append.class).get(0).entry();
    read(List.of(new StoredEntry(members == 1 ? 0 : 1, Optional.of(e))));
  }

  private void read(List<StoredEntry> e) {
    long end = e.stream().mapToLong(s -> s.offset() + 1).max().orElse(0);
    claims.handle(new Event.LogRead(LogStream.CLAIMS, 0, e, 0, end), clock.getAsLong());
  }

  private GuardedRequest offer(Optional<String> idempotencyKey, long fingerprint) {
    String id = "r" + ++requests;
    RequestContext c =
        new RequestContext(
            id,
            id,
            SERVICE,
            "route",
            Optional.empty(),
            Priority.HIGHEST,
            clock.getAsLong() + Duration.ofSeconds(5).toNanos(),
            false,
            idempotencyKey,
            fingerprint,
            0,
            0);
    GuardListener l =
        new GuardListener() {
          @Override
          public void run() {
            outcomes.add("run");
          }

          @Override
          public void refused(Verdict v) {
            outcomes.add(v.toString());
          }

          @Override
          public void replay(RecordedResponse a) {
            outcomes.add("replay " + a.status());
          }
        };
    return guard.offer(c, false, l, clock.getAsLong());
  }

  private void end(GuardedRequest r, Completion completion, Optional<RecordedResponse> response) {
    r.complete(completion, response, clock.getAsLong());
  }

  @Example
  void aResendGetsTheRecordedResponseAndADifferentRequestIsRefused() {
    end(offer(Optional.of("k"), 1), Completion.RESPONDED, Optional.of(RESPONSE));
    offer(Optional.of("k"), 1);
    offer(Optional.of("k"), 2);
    Verdict mismatch = new Verdict.NotRun(ErrorCode.CLAIM_MISMATCH);
    assertEquals(List.of("run", "replay 201", mismatch.toString()), outcomes);
    assertEquals(0, admission.inFlight());
  }

  @Example
  void aResendOfARunningOrLostRequestMayHaveRun() {
    GuardedRequest running = offer(Optional.of("k"), 1);
    offer(Optional.of("k"), 1);
    end(running, Completion.FAILED, Optional.empty());
    offer(Optional.of("k"), 1);
    assertEquals(
        List.of(
            "run",
            new Verdict.MayHaveRun(ErrorCode.CLAIM_IN_PROGRESS).toString(),
            new Verdict.MayHaveRun(ErrorCode.CLAIM_OUTCOME_UNKNOWN).toString()),
        outcomes);
    assertEquals(0, admission.inFlight());
    assertEquals(0, guard.runningRequests().size());
  }

  @Example
  void aRefusalOfTheTargetReleasesTheClaim() {
    end(offer(Optional.of("k"), 1), Completion.SHED, Optional.empty());
    offer(Optional.of("k"), 1);
    assertEquals(List.of("run", "run"), outcomes);
  }

  @Example
  void anUnsentRequestReleasesItsClaimAndIsNotSuspected() {
    offer(Optional.of("k"), 1).completeUnsent(Completion.FAILED, clock.getAsLong());
    assertTrue(!quarantine.isSuspect(1, clock.getAsLong()));
    offer(Optional.of("k"), 1);
    assertEquals(List.of("run", "run"), outcomes);
  }

  @Example
  void aRequestWithoutIdempotencyKeyIsNotClaimed() {
    end(offer(Optional.empty(), 1), Completion.RESPONDED, Optional.of(RESPONSE));
    offer(Optional.empty(), 1);
    assertEquals(List.of("run", "run"), outcomes);
  }

  @Example
  void withoutWitnessesNoRequestRunsAndEverySlotIsReleased() {
    startRing(3);
    GuardedRequest cancelled = offer(Optional.of("k"), 1);
    offer(Optional.of("l"), 1);
    assertEquals(2, admission.inFlight());
    cancelled.cancel(clock.getAsLong());
    for (int i = 0; i < 30; i++) {
      claims.handle(new Event.Tick(), clock.advance(Duration.ofMillis(50)));
    }
    assertEquals(List.of(new Verdict.NotRun(ErrorCode.CLAIM_UNAVAILABLE).toString()), outcomes);
    assertEquals(0, admission.inFlight());
  }
}
