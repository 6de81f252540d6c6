package org.pomelohollow.decision.admission;

import java.util.Optional;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.model.TargetState;

/** Bounds requests in flight at the target: slots, connections, cold start, adaptive limit. */
final class TargetLimit {
  private static final long GAP_NANOS = 3_000_000_000L;

  private final LimitAlgorithm algorithm;
  private final ColdStart coldStart = new ColdStart();
  private final LatencyJump jump = new LatencyJump();
  private Optional<TargetAnnouncement> target = Optional.empty();
  private Optional<Document> document = Optional.empty();
  private long announcedNanos;

  TargetLimit(LimitAlgorithm algorithm) {
    this.algorithm = algorithm;
  }

  Optional<TargetAnnouncement> target() {
    return target;
  }

  boolean isCold() {
    return coldStart.isCold();
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
    return coldStart.isCold() ? coldStart.bound() : Math.min(algorithm.limit(), coldStart.bound());
  }

  /** Returns the target's state for peers; its limit is rounded so that it changes seldom. */
  Optional<TargetState> state(boolean draining) {
    return target.map(
        t ->
            new TargetState(
                t.service(), t.slots(), roundDown(limit()), coldStart.isCold(), draining));
  }

  void configure(Document d) {
    document = Optional.of(d);
    updateCeiling();
  }

  void announced(TargetAnnouncement a, long nowNanos) {
    boolean sameRun =
        target
                .filter(t -> t.instance().equals(a.instance()) && t.service().equals(a.service()))
                .isPresent()
            && nowNanos - announcedNanos <= GAP_NANOS;
    target = Optional.of(a);
    announcedNanos = nowNanos;
    updateCeiling();
    if (!sameRun) {
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
    fall();
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
    if (measures && jump.add(t.context().route(), s.ownNanos())) {
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
    TargetAnnouncement t = target.get();
    Optional<ServiceEntry> e =
        document.flatMap(d -> Optional.ofNullable(d.services().get(t.service())));
    int announced = Math.min(t.slots(), t.connections());
    int ceiling =
        e.map(s -> Math.min(announced, Math.min(s.slots(), s.connections()))).orElse(announced);
    coldStart.configure(e.map(ServiceEntry::coldStartSlots).orElse(1), ceiling);
    algorithm.setCeiling(ceiling);
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
