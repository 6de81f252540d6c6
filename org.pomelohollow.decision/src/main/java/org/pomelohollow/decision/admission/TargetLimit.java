package org.pomelohollow.decision.admission;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.document.ColdStartRate;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.model.TargetState;

/** Bounds requests in flight at the target: slots, connections, cold start, adaptive limit. */
final class TargetLimit {
  private static final long GAP_NANOS = 3_000_000_000L;

  private final LimitAlgorithm algorithm;
  private final double slotShare;
  private final ColdStart coldStart = new ColdStart();
  private final LatencyJump jump = new LatencyJump();
  private Optional<TargetAnnouncement> target = Optional.empty();
  private Optional<Document> document = Optional.empty();
  private Optional<ColdPace> pace = Optional.empty();
  private Optional<ColdStartRate> paceRate = Optional.empty();
  private long announcedNanos;

  TargetLimit(LimitAlgorithm algorithm, double slotShare) {
    this.algorithm = algorithm;
    this.slotShare = slotShare;
  }

  Optional<TargetAnnouncement> target() {
    return target;
  }

  boolean isCold(long nowNanos) {
    return pace.map(p -> p.isCold(nowNanos)).orElseGet(coldStart::isCold);
  }

  /** Tells whether the pace of a cold target lets a request start. */
  boolean mayStart(long nowNanos) {
    return pace.map(p -> p.mayStart(nowNanos)).orElse(true);
  }

  /** Notes that a request started. */
  void started(long nowNanos) {
    pace.ifPresent(p -> p.started(nowNanos));
  }

  /** Treats the target as cold, since it may have become so unseen. */
  void suspectCold(long nowNanos) {
    pace.ifPresent(p -> p.fall(nowNanos));
  }

  /** Returns the number of the present run of the target. */
  int epoch() {
    return coldStart.epoch();
  }

  /** Returns the most requests in flight, 0 without a target. */
  int limit() {
    if (target.isEmpty()) {
      return 0;
    }
    if (pace.isPresent()) {
      return algorithm.limit();
    }
    return coldStart.isCold() ? coldStart.bound() : Math.min(algorithm.limit(), coldStart.bound());
  }

  /** Returns the limit that peers are told: what a cold target's pace amounts to. */
  int toldLimit(long nowNanos) {
    return pace.filter(p -> p.isCold(nowNanos))
        .map(p -> Math.min(p.equivalentLimit(), limit()))
        .orElseGet(this::limit);
  }

  /** Returns the target's state for peers; its limit is rounded so that it changes seldom. */
  Optional<TargetState> state(boolean draining, long nowNanos) {
    return target.map(
        t ->
            new TargetState(
                t.service(),
                t.slots(),
                roundDown(toldLimit(nowNanos)),
                isCold(nowNanos),
                draining));
  }

  void configure(Document d, long nowNanos) {
    document = Optional.of(d);
    updateCeiling();
    updatePace(nowNanos);
  }

  void announced(TargetAnnouncement a, long nowNanos) {
    boolean sameRun = target.filter(a::isSameRun).isPresent();
    boolean seamless = sameRun && nowNanos - announcedNanos <= GAP_NANOS;
    target = Optional.of(a);
    announcedNanos = nowNanos;
    updateCeiling();
    updatePace(nowNanos);
    if (pace.isPresent()) {
      pace.get().announced(a.coldMillis(), nowNanos);
      if (!sameRun) {
        algorithm.reset(ceiling());
      }
      return;
    }
    if (!seamless) {
      fall();
    }
    coldStart.setAnnouncedCold(a.cold());
  }

  void lost() {
    target = Optional.empty();
    fall();
  }

  /** Tells that the target has become slow at once, seen on requests that still run. */
  void stalled() {
    if (pace.isEmpty()) {
      fall();
    }
  }

  /** Returns whether a request that has run for a time is far slower than its route was. */
  boolean isFarSlower(String route, long ownNanos) {
    return jump.isSlow(route, ownNanos);
  }

  void ended(Ticket t, LimitAlgorithm.Sample s, long nowNanos) {
    boolean measures =
        s.completion() == Completion.ANSWERED || s.completion() == Completion.TIMED_OUT;
    if (t.epoch() != coldStart.epoch()) {
      return;
    }
    if (pace.isPresent()) {
      algorithm.ended(s, nowNanos);
    } else if (measures && jump.add(t.context().route(), s.ownNanos())) {
      fall();
    } else if (coldStart.isCold()) {
      if (coldStart.ended(t.epoch(), s.completion(), s.ownNanos())) {
        algorithm.reset(coldStart.reached());
      }
    } else {
      algorithm.ended(s, nowNanos);
    }
  }

  private void fall() {
    coldStart.fall();
    jump.clear();
  }

  private void updateCeiling() {
    if (target.isEmpty()) {
      return;
    }
    coldStart.configure(service().map(ServiceEntry::coldStartSlots).orElse(1), ceiling());
    algorithm.setCeiling(ceiling());
  }

  /**
   * Keeps the pace while the operator's rate stays the same. A target may have announced itself
   * before the rate was known.
   */
  private void updatePace(long nowNanos) {
    Optional<ColdStartRate> rate = service().flatMap(ServiceEntry::coldStartRate);
    if (!rate.equals(paceRate)) {
      paceRate = rate;
      pace = rate.map(ColdPace::new);
      target.ifPresent(
          t -> pace.ifPresent(p -> p.announced(coldMillisLeft(t, nowNanos), nowNanos)));
    }
  }

  private long coldMillisLeft(TargetAnnouncement t, long nowNanos) {
    return Math.max(0, t.coldMillis() - TimeUnit.NANOSECONDS.toMillis(nowNanos - announcedNanos));
  }

  private int ceiling() {
    TargetAnnouncement t = target.orElseThrow();
    int slots = Math.max(1, (int) (t.slots() * slotShare));
    int announced = Math.min(slots, t.connections());
    return service()
        .map(s -> Math.min(announced, Math.min(s.slots(), s.connections())))
        .orElse(announced);
  }

  private Optional<ServiceEntry> service() {
    return target.flatMap(t -> document.map(d -> d.services().get(t.service())));
  }

  /** Rounds down to a power of two, or one and a half times one. */
  private static int roundDown(int n) {
    if (n < 2) {
      return n;
    }
    int power = Integer.highestOneBit(n);
    return n >= power + power / 2 ? power + power / 2 : power;
  }
}
