package org.pomelohollow.decision.admission;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.document.ColdStartRate;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.TargetState;

/**
 * Limit of the requests in flight at the target: the least of its slots, its connections, the limit
 * of a cold start, and the adaptive limit.
 *
 * <p>Where the operator states a request rate for cold targets, a cold target is bounded by that
 * rate instead of by a cold-start limit. Where the operator states neither a rate nor slots for
 * cold targets, a cold target is slower but runs as many requests as a warm one: entry daemons send
 * it fewer requests, and nothing else limits it. A target that names a request rate is bounded by
 * that rate besides. Where the target reports its slowdown, slots that it says are taken by
 * requests of others are not used.
 */
final class TargetLimit {
  /** Time between announcements after which the target may have restarted unnoticed. */
  private static final long MAX_ANNOUNCEMENT_GAP_NANOS = 3_000_000_000L;

  private static final int MIN_QUEUE_BOUND = 8;

  /** Divisor of the advertised limit of a target that fails many requests. */
  private static final int FAILING_DIVISOR = 8;

  /** Divisor of the advertised limit of a target that is cold and has no cold-start limit. */
  private static final int UNLIMITED_COLD_DIVISOR = 2;

  private final LimitAlgorithm algorithm;
  private final double slotShare;
  private final ColdStartLimit coldStart = new ColdStartLimit();
  private final LatencyJumpDetector latencyJump = new LatencyJumpDetector();
  private final TargetNotices notices = new TargetNotices();
  private final TargetFailureDetector failures = new TargetFailureDetector();
  private final ReportedLoadTracker reportedLoad = new ReportedLoadTracker();
  private int foreignSlots;
  private Optional<TargetAnnouncement> announcement = Optional.empty();
  private Optional<Document> document = Optional.empty();
  private Optional<ColdRateLimiter> coldRateLimiter = Optional.empty();
  private Optional<ColdStartRate> coldRate = Optional.empty();
  private long announcedNanos;
  private boolean hasReportedSlowdown;

  TargetLimit(LimitAlgorithm algorithm, double slotShare) {
    this.algorithm = algorithm;
    this.slotShare = slotShare;
  }

  Optional<TargetAnnouncement> announcement() {
    return announcement;
  }

  /** Returns what the target said of itself in its responses. */
  TargetNotices notices() {
    return notices;
  }

  /** Returns the load that the target reports of itself. */
  ReportedLoadTracker reportedLoad() {
    return reportedLoad;
  }

  /** Sets the time to which {@link #limit()} applies. */
  void advanceTo(long nowNanos) {
    foreignSlots = reportedLoad.foreignSlots(nowNanos);
  }

  boolean isCold(long nowNanos) {
    if (coldRateLimiter.isPresent()) {
      return coldRateLimiter.get().isCold(nowNanos);
    }
    return hasColdStartLimit()
        ? coldStart.isCold()
        : announcement.filter(TargetAnnouncement::cold).isPresent();
  }

  /** Returns whether the request rates of the target allow a request to start. */
  boolean mayStart(long nowNanos) {
    return notices.requestRate().mayStart(nowNanos)
        && (coldRateLimiter.isEmpty() || coldRateLimiter.get().mayStart(nowNanos));
  }

  /** Records that a request started. */
  void recordStart(long nowNanos) {
    notices.requestRate().recordStart(nowNanos);
    if (coldRateLimiter.isPresent()) {
      coldRateLimiter.get().recordStart(nowNanos);
    }
  }

  /**
   * Treats the target as cold because it may have restarted unnoticed. Has an effect only where the
   * operator states a request rate for cold targets.
   */
  void suspectCold(long nowNanos) {
    coldRateLimiter.ifPresent(r -> r.restartColdTime(nowNanos));
  }

  /** Returns the number of cold starts so far. */
  int epoch() {
    return coldStart.epoch();
  }

  /** Returns the highest number of requests in flight, 0 without a target. */
  int limit() {
    if (announcement.isEmpty()) {
      return 0;
    }
    int limit = limitWithoutForeignRequests();
    return foreignSlots == 0 ? limit : Math.max(1, limit - foreignSlots);
  }

  private int limitWithoutForeignRequests() {
    if (!hasColdStartLimit()) {
      return algorithm.limit();
    }
    return coldStart.isCold() ? coldStart.limit() : Math.min(algorithm.limit(), coldStart.limit());
  }

  /**
   * Returns the longest queue. That of a target that named a request rate is short, since other
   * targets of the service may have room.
   */
  int queueBound() {
    return notices.requestRate().queueBound(Math.max(MIN_QUEUE_BOUND, limit()));
  }

  /** Returns the error code for requests that are shed from the queue. */
  ErrorCode shedCode(long nowNanos) {
    if (isCold(nowNanos)) {
      return ErrorCode.TARGET_COLD;
    }
    return notices.requestRate().requestsPerSecond().isPresent()
        ? ErrorCode.TARGET_RATE_LIMITED
        : ErrorCode.OVERLOADED;
  }

  /** Returns the number of requests in flight that the named request rate leaves. */
  private int rateBoundLimit() {
    return notices.requestRate().equivalentLimit(limit());
  }

  /** Returns the limit to advertise to peers, which reflects the request rates of the target. */
  int advertisedLimit(long nowNanos) {
    int n = advertisedLimitIfSound(nowNanos);
    return failures.isFailing(nowNanos) ? Math.max(1, n / FAILING_DIVISOR) : n;
  }

  private int advertisedLimitIfSound(long nowNanos) {
    if (coldRateLimiter.isPresent() && coldRateLimiter.get().isCold(nowNanos)) {
      return Math.min(coldRateLimiter.get().equivalentLimit(), rateBoundLimit());
    }
    if (!hasColdStartLimit() && isCold(nowNanos)) {
      return Math.min(Math.max(1, limit() / UNLIMITED_COLD_DIVISOR), rateBoundLimit());
    }
    return rateBoundLimit();
  }

  /**
   * Returns the state of the target to send to peers, or empty without a target. The limit is
   * rounded down so that it changes rarely.
   */
  Optional<TargetState> state(boolean draining, long nowNanos) {
    return announcement.map(
        t ->
            new TargetState(
                t.service(),
                t.slots(),
                roundDown(advertisedLimit(nowNanos)),
                isCold(nowNanos),
                draining,
                t.version()));
  }

  void configure(Document d, long nowNanos) {
    document = Optional.of(d);
    updateCeiling();
    updateColdRate(nowNanos);
  }

  void setAnnouncement(TargetAnnouncement a, long nowNanos) {
    boolean sameIncarnation = announcement.filter(a::isSameIncarnation).isPresent();
    boolean isContinuous =
        sameIncarnation && nowNanos - announcedNanos <= MAX_ANNOUNCEMENT_GAP_NANOS;
    notices.setTarget(a.incarnation());
    reportedLoad.setTarget(a.incarnation());
    if (!sameIncarnation) {
      failures.reset();
      hasReportedSlowdown = false;
    }
    announcement = Optional.of(a);
    announcedNanos = nowNanos;
    updateCeiling();
    updateColdRate(nowNanos);
    coldRateLimiter.ifPresent(r -> r.setRemainingColdTime(a.coldRemainingMillis(), nowNanos));
    if (!hasColdStartLimit()) {
      if (!sameIncarnation) {
        algorithm.reset(ceiling());
      }
      return;
    }
    if (!isContinuous) {
      restartColdStart();
    }
    coldStart.setAnnouncedCold(a.cold());
  }

  void removeTarget() {
    announcement = Optional.empty();
    restartColdStart();
  }

  /** Acts on many running requests that are far slower than their routes. */
  void recordStall(long nowNanos) {
    if (hasColdStartLimit()) {
      restartColdStart();
    } else if (detectsFailures(nowNanos)) {
      failures.recordStall(nowNanos);
    }
  }

  /**
   * Records whether the target failed a request.
   *
   * @param failed whether it failed
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void recordResult(boolean failed, long nowNanos) {
    if (detectsFailures(nowNanos)) {
      failures.recordEnd(failed, nowNanos);
    }
  }

  /** Returns whether the target fails many requests, so that others are preferred. */
  boolean isFailing(long nowNanos) {
    return failures.isFailing(nowNanos);
  }

  /**
   * Returns whether the target has reported a slowdown since its start. Targets of deployments
   * where none does are chosen as before; one that has stopped responding reports none any more.
   */
  private boolean detectsFailures(long nowNanos) {
    hasReportedSlowdown |= reportedLoad.slowdown(nowNanos) > 0;
    return hasReportedSlowdown;
  }

  /** Returns whether a self time is far above the mean of its route. */
  boolean isFarSlower(String route, long selfTimeNanos) {
    return latencyJump.isSlow(route, selfTimeNanos);
  }

  void recordCompletion(Ticket t, LimitAlgorithm.Sample s, long nowNanos) {
    boolean hasLatency =
        s.completion() == Completion.RESPONDED || s.completion() == Completion.TIMED_OUT;
    notices.requestRate().recordHeld(nowNanos - t.startedNanos());
    if (t.targetEpoch() != coldStart.epoch()) {
      return;
    }
    if (!hasColdStartLimit()) {
      algorithm.onSample(s, nowNanos);
      if (hasLatency
          && detectsFailures(nowNanos)
          && latencyJump.addSample(t.context().route(), s.selfTimeNanos())) {
        failures.recordStall(nowNanos);
      }
    } else if (hasLatency && latencyJump.addSample(t.context().route(), s.selfTimeNanos())) {
      restartColdStart();
    } else if (coldStart.isCold()) {
      if (coldStart.recordCompletion(t.targetEpoch(), s.completion(), s.selfTimeNanos())) {
        algorithm.reset(coldStart.rampLimit());
      }
    } else {
      algorithm.onSample(s, nowNanos);
    }
  }

  /**
   * Returns whether a number of slots, rather than a request rate or nothing, limits a cold target.
   */
  private boolean hasColdStartLimit() {
    return coldRateLimiter.isEmpty() && service().map(ServiceEntry::limitsColdStart).orElse(true);
  }

  private void restartColdStart() {
    coldStart.restart();
    latencyJump.clear();
  }

  private void updateCeiling() {
    if (announcement.isEmpty()) {
      return;
    }
    coldStart.configure(service().map(ServiceEntry::coldStartSlots).orElse(1), ceiling());
    algorithm.setCeiling(ceiling());
  }

  /**
   * Replaces the rate limiter if the operator's rate has changed. The new one is given the
   * remaining cold time, since the target may have announced it before the rate was known.
   */
  private void updateColdRate(long nowNanos) {
    Optional<ColdStartRate> newRate = service().flatMap(ServiceEntry::coldStartRate);
    if (!newRate.equals(coldRate)) {
      coldRate = newRate;
      coldRateLimiter = newRate.map(ColdRateLimiter::new);
      announcement.ifPresent(
          t ->
              coldRateLimiter.ifPresent(
                  r -> r.setRemainingColdTime(coldMillisLeft(t, nowNanos), nowNanos)));
    }
  }

  private long coldMillisLeft(TargetAnnouncement t, long nowNanos) {
    return Math.max(
        0, t.coldRemainingMillis() - TimeUnit.NANOSECONDS.toMillis(nowNanos - announcedNanos));
  }

  private int ceiling() {
    TargetAnnouncement t = announcement.orElseThrow();
    int slots = Math.max(1, (int) (t.slots() * slotShare));
    int announcedCeiling = Math.min(slots, t.connections());
    return service()
        .map(s -> Math.min(announcedCeiling, Math.min(s.slots(), s.connections())))
        .orElse(announcedCeiling);
  }

  private Optional<ServiceEntry> service() {
    return announcement.flatMap(t -> document.map(d -> d.services().get(t.service())));
  }

  /** Rounds down to a power of two or to 1.5 times a power of two. */
  private static int roundDown(int n) {
    if (n < 2) {
      return n;
    }
    int power = Integer.highestOneBit(n);
    return n >= power + power / 2 ? power + power / 2 : power;
  }
}
