package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.model.ZoneId;

/** Drives an admission controller, and checks its invariants after every step. */
final class AdmissionHarness {
  static final ServiceId SERVICE = new ServiceId("orders");
  static final ZoneId ZONE = new ZoneId("a");

  /** Completed requests in a cold start for each request by which the limit may grow. */
  static final int COMPLETIONS_PER_SLOT = 8;

  final ManualClock clock = new ManualClock();
  final AdmissionController admission = new AdmissionController(ZONE, new ThroughputLimit());
  final List<Request> requests = new ArrayList<>();
  private ServiceEntry serviceEntry = new ServiceEntry(SERVICE, 20, 40, 3);
  private int announced = 20;
  private int instance;
  private int completedSinceColdStart;
  private int coldStarts;
  private boolean coldAnnounced;
  private long version;

  AdmissionHarness() {
    configure(20, 3, true);
  }

  void configure(int slots, int coldSlots, boolean inService) {
    serviceEntry = new ServiceEntry(SERVICE, slots, slots * 2, Math.min(slots, coldSlots));
    Document d =
        new Document(
            "d",
            List.of("high", "normal", "low"),
            Map.of(ZONE, new ZoneEntry(ZONE, "r", inService)),
            Map.of(new AccountId("heavy"), new AccountEntry(new AccountId("heavy"), 1, 1, 3)),
            List.of(),
            Map.of(SERVICE, serviceEntry),
            List.of());
    handle(new Event.ConfigActivated(new VersionedDocument(++version, "c", "", d)));
  }

  void announce(int slots, boolean announceCold) {
    if (announceCold && !coldAnnounced) {
      recordColdStart();
    }
    coldAnnounced = announceCold;
    announced = slots;
    TargetAnnouncement a =
        new TargetAnnouncement(
            SERVICE, new Endpoint("127.0.0.1", 1), "i" + instance, slots, 100, announceCold, 0);
    handle(new Event.TargetAnnounced(a));
  }

  void restart(int slots, boolean announceCold) {
    instance++;
    recordColdStart();
    announce(slots, announceCold);
  }

  void loseTarget() {
    recordColdStart();
    handle(new Event.TargetLost(SERVICE));
  }

  void handle(Event e) {
    admission.handle(e, clock.getAsLong());
    checkInvariants();
  }

  Request offer(int rank, String account, boolean bulk, long timeoutMillis) {
    Request r = new Request(requests.size(), rank, account, bulk, timeoutMillis);
    requests.add(r);
    r.ticket = admission.offer(r.context, bulk, r, clock.getAsLong());
    checkInvariants();
    return r;
  }

  void complete(Request r, Completion c) {
    r.completed = true;
    if (c == Completion.RESPONDED && r.coldStartEpoch == coldStarts) {
      completedSinceColdStart++;
    }
    admission.complete(r.ticket, c, clock.getAsLong());
    checkInvariants();
  }

  void advance(long millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  /** Advances the clock while the target announces itself every 50 ms. */
  void advanceWithAnnouncements(long millis) {
    for (long leftMillis = millis; leftMillis > 0; leftMillis -= 50) {
      advance(Math.min(leftMillis, 50));
      announce(announced, coldAnnounced);
      handle(new Event.Tick());
    }
  }

  List<Request> running() {
    return requests.stream().filter(r -> r.admitted > 0 && !r.completed).toList();
  }

  List<Request> queued() {
    return requests.stream().filter(r -> r.isQueued()).toList();
  }

  /** Returns the highest number of requests in flight that a controller may allow at present. */
  int maxAllowedInFlight() {
    int slots = Math.min(announced, serviceEntry.slots());
    int earnedSlots = coldAnnounced ? 0 : completedSinceColdStart / COMPLETIONS_PER_SLOT;
    return Math.min(slots, serviceEntry.coldStartSlots() + earnedSlots);
  }

  private void recordColdStart() {
    coldStarts++;
    completedSinceColdStart = 0;
  }

  private void checkInvariants() {
    assertEquals(running().size(), admission.inFlight(), "in flight");
    for (Request r : requests) {
      assertTrue(r.admitted + r.refused <= 1, "outcome reported more than once");
      if (!r.cancelled && !r.ticketIsQueued()) {
        assertEquals(1, r.admitted + r.refused, "no outcome reported");
      }
    }
  }

  /** A request and its outcome. */
  final class Request implements AdmissionListener {
    final RequestContext context;
    final boolean bulk;
    Ticket ticket;
    int admitted;
    int refused;
    int coldStartEpoch;
    boolean completed;
    boolean cancelled;
    Optional<Verdict.NotRun> verdict = Optional.empty();

    Request(int n, int rank, String account, boolean bulk, long timeoutMillis) {
      this.bulk = bulk;
      context =
          new RequestContext(
              "r" + n,
              "r" + n,
              SERVICE,
              "route",
              Optional.of(new AccountId(account)),
              new Priority(rank),
              clock.getAsLong() + timeoutMillis * 1_000_000,
              false,
              Optional.empty(),
              0,
              0,
              0);
    }

    boolean isQueued() {
      return admitted + refused == 0 && !cancelled;
    }

    void cancel() {
      cancelled = isQueued();
      admission.cancel(ticket);
      checkInvariants();
    }

    @Override
    public void admitted() {
      admitted++;
      coldStartEpoch = coldStarts;
      assertTrue(
          running().size() <= maxAllowedInFlight(),
          () -> running().size() + " in flight, allowed " + maxAllowedInFlight());
      assertTrue(
          context.remainingNanos(clock.getAsLong()) > 0, "request admitted after its deadline");
      assertTrue(
          queued().stream()
              .noneMatch(
                  other ->
                      other.bulk == bulk
                          && context.priority().isLessImportantThan(other.context.priority())),
          "a more important request is still queued");
    }

    @Override
    public void refused(Verdict.NotRun v) {
      refused++;
      verdict = Optional.of(v);
      if (v.code() == ErrorCode.OVERLOADED || v.code() == ErrorCode.TARGET_COLD) {
        assertTrue(v.retryAfterMillis() > 0, "refusal without a retry delay");
      }
    }

    private boolean ticketIsQueued() {
      return ticket == null || ticket.isQueued();
    }
  }
}
