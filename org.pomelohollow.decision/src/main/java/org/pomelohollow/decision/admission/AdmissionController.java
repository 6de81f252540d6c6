package org.pomelohollow.decision.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.ReportedLoad;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.TargetIncarnation;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.model.ZoneId;

/**
 * Admission controller for this daemon's only target.
 *
 * <p>Bounds the requests in flight at the target by the limit that {@link #load} reports. Further
 * requests wait in a queue of at most that length, ordered by priority and shared fairly between
 * client accounts within a priority. Bulk requests (large transfers) have a queue and a bound of
 * their own. A refused request has never been sent to the target.
 */
public final class AdmissionController implements Controller {
  private static final String PART = "admission";

  /** Least number of running requests far above their routes' latency that indicates a stall. */
  private static final int MIN_STALLED_REQUESTS = 12;

  private final ZoneId zone;
  private final TargetLimit targetLimit;
  private final AdmissionQueues queues = new AdmissionQueues(this::weight);
  private final SlotAllocator slots = new SlotAllocator();
  private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
  private final PriorityCutOff cutOff = new PriorityCutOff();
  private final OverloadTracker overload = new OverloadTracker();
  private final PressureController pressure = new PressureController(Priority.MAX_COUNT);
  private final CallGraph callGraph = new CallGraph();
  private final AdmissionSettings settings;
  private final WaitBounds waitBounds;
  private final Map<String, Ticket> running = new HashMap<>();
  private Optional<Document> document = Optional.empty();
  private boolean draining;
  private boolean stopping;
  private boolean startingQueued;
  private long latestNanos;

  /** Whether the target's reports put estimated waits in effect, as of the latest time. */
  private boolean scarce;

  /**
   * Creates a controller without a target.
   *
   * @param zone availability zone of this daemon
   * @param algorithm adapts the limit of a target that is not in cold start
   */
  public AdmissionController(ZoneId zone, LimitAlgorithm algorithm) {
    this(zone, new AdmissionSettings(() -> algorithm, 1, WaitPolicy.STANDING_QUEUE, false));
  }

  /**
   * Creates a controller without a target.
   *
   * @param zone availability zone of this daemon
   * @param settings parameters of the admission
   */
  public AdmissionController(ZoneId zone, AdmissionSettings settings) {
    this.zone = zone;
    this.settings = settings;
    this.waitBounds = new WaitBounds(settings.waitPolicy());
    this.targetLimit = new TargetLimit(settings.limitFactory().get(), settings.slotShare());
  }

  /**
   * Queues a request, and starts it at once if a slot is free.
   *
   * @param context the request
   * @param bulk whether it is a bulk request (a large transfer)
   * @param listener notified of the outcome, possibly before this method returns
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the request's ticket
   */
  public Ticket offer(
      RequestContext context, boolean bulk, AdmissionListener listener, long nowNanos) {
    advanceTo(nowNanos);
    Ticket t = new Ticket(context, bulk, nowNanos, listener);
    Optional<ErrorCode> refusalReason = refusalReason();
    if (refusalReason.isPresent()) {
      refuse(t, refusalReason.get(), nowNanos);
    } else if (!refuseIfLate(t, nowNanos) && !shedIfWaitIsLong(t, nowNanos)) {
      slots.recordOffer(bulk, nowNanos);
      queues.of(t).add(t);
      startQueued(nowNanos);
      shedExcess(queues.of(t), !bulk && mayEstimateQueue(), nowNanos);
    }
    return t;
  }

  /**
   * Ends an admitted request and frees its slot. Does nothing if the request has ended or is still
   * queued.
   *
   * @param t the request's ticket
   * @param completion how it ended
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void complete(Ticket t, Completion completion, long nowNanos) {
    if (!t.isRunning()) {
      return;
    }
    advanceTo(nowNanos);
    LimitAlgorithm.Sample s =
        new LimitAlgorithm.Sample(
            t.selfTimeNanos(nowNanos), inFlight(), inFlight() >= targetLimit.limit(), completion);
    t.end();
    running.remove(t.context().requestId(), t);
    callGraph.recordEnd(t.context().route());
    slots.release(t.isBulk());
    long heldNanos = nowNanos - t.startedNanos();
    queues.of(t).correctCharge(t, heldNanos);
    if (completion == Completion.RESPONDED) {
      double slowdown = targetLimit.reportedLoad().slowdown(nowNanos);
      serviceTimes.addSample(t.context().route(), heldNanos, slowdown);
    }
    if (!t.isBulk()) {
      targetLimit.recordCompletion(t, s, nowNanos);
    }
    startQueued(nowNanos);
  }

  /**
   * Removes a queued request whose caller has disconnected. Does nothing to a running request,
   * which is ended by {@link #complete}.
   *
   * @param t the request's ticket
   */
  public void cancel(Ticket t) {
    if (t.isQueued()) {
      queues.of(t).remove(t);
      t.end();
    }
  }

  /**
   * Records that a running request has started an outbound call. The time during which outbound
   * calls are open does not count as time that the target took.
   *
   * @param requestId identifier of the running request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return handle to mark the end of the call; without effect if the request is not running
   */
  public OutboundCall startOutboundCall(String requestId, long nowNanos) {
    Ticket t = running.get(requestId);
    if (t == null) {
      return endNanos -> {};
    }
    t.startOutboundCall(nowNanos);
    return t::endOutboundCall;
  }

  /**
   * Returns the load to report to the entry daemon of a request.
   *
   * @param route route of the request that is responded to; the report includes the pressure of the
   *     targets that requests of this route call
   * @return the load
   */
  public TargetLoad load(String route) {
    return load(
        settings.reportsPressure()
            ? Math.max(pressure.value(), callGraph.pressure(route, latestNanos))
            : 0);
  }

  /** Returns the load of the target alone, without the pressure of the targets that it calls. */
  public TargetLoad load() {
    return load(settings.reportsPressure() ? pressure.value() : 0);
  }

  private TargetLoad load(double pressureToReport) {
    return new TargetLoad(
        targetLimit.advertisedLimit(latestNanos),
        inFlight(),
        queues.size(),
        cutOff.current(),
        pressureToReport,
        targetLimit.reportedLoad().slowdown(latestNanos));
  }

  /**
   * Records that the target made a call to another service.
   *
   * @param calledRoute route of the call
   */
  public void recordOutboundCall(String calledRoute) {
    callGraph.recordCall(calledRoute);
  }

  /**
   * Records the load that the daemon of a called target reported.
   *
   * @param calledRoute route of the call
   * @param load the reported load
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void recordReportedLoad(String calledRoute, TargetLoad load, long nowNanos) {
    callGraph.recordLoad(calledRoute, load, nowNanos);
  }

  /** Returns what the target said of itself in its responses. */
  public TargetNotices notices() {
    return targetLimit.notices();
  }

  /**
   * Records the load that the target reports in a response. A report without a slowdown changes
   * nothing.
   *
   * @param from incarnation of the target that sent the response
   * @param r the report
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether operators should learn of it: the first report of the incarnation, or the first
   *     one by which slots are taken by requests that this daemon did not send
   */
  public boolean recordTargetReport(TargetIncarnation from, ReportedLoad r, long nowNanos) {
    if (!r.hasSlowdown()) {
      return false;
    }
    boolean notable = targetLimit.reportedLoad().record(from, r, inFlight(), nowNanos);
    advanceTo(nowNanos);
    return notable;
  }

  /**
   * Records how the target answered a request, to advertise less of a target that fails many.
   *
   * @param completion how the request ended
   * @param failure whether its response is a failure
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void recordTargetResult(Completion completion, boolean failure, long nowNanos) {
    boolean shedWithFreeSlots =
        completion == Completion.SHED && 2 * inFlight() < targetLimit.limit();
    switch (completion) {
      case RESPONDED -> targetLimit.recordResult(failure, nowNanos);
      case FAILED, TIMED_OUT -> targetLimit.recordResult(true, nowNanos);
      case SHED -> targetLimit.recordResult(shedWithFreeSlots, nowNanos);
      default -> {} // A caller that left says nothing of the target.
    }
  }

  /** Returns whether the target fails many requests, so that entry daemons prefer others. */
  public boolean isTargetFailing() {
    return targetLimit.isFailing(latestNanos);
  }

  /** Describes the load that the target last reported. */
  public String describeTargetReport(long nowNanos) {
    return targetLimit.reportedLoad().describe(nowNanos);
  }

  /** Returns the state of the target to send to peers, or empty without a target. */
  public Optional<TargetState> targetState() {
    return targetLimit.state(isDraining(), latestNanos);
  }

  /** Returns the number of requests at the target. */
  public int inFlight() {
    return slots.inFlight();
  }

  @Override
  public void handle(Event event, long nowNanos) {
    advanceTo(nowNanos);
    if (event instanceof Event.TargetAnnounced a) {
      targetLimit.setAnnouncement(a.announcement(), nowNanos);
      draining = false;
    } else if (event instanceof Event.TargetWithdrawn) {
      draining = true;
    } else if (event instanceof Event.TargetLost) {
      targetLimit.removeTarget();
    } else if (event instanceof Event.ShutdownRequested) {
      stopping = true;
    } else if (event instanceof Event.ConfigActivated c) {
      configure(c.configuration().document(), nowNanos);
    } else if (event instanceof Event.Tick) {
      tick(nowNanos);
    } else if (!(event instanceof Event.TargetNoticeChanged)) {
      return;
    }
    refusalReason().ifPresent(code -> refuseAll(code, nowNanos));
    startQueued(nowNanos);
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of(PART)
        .line("target", targetLimit.announcement())
        .line("draining", isDraining())
        .line("cold", targetLimit.isCold(nowNanos))
        .line("limit", targetLimit.limit())
        .line("notice", notices().current())
        .line("failing", isTargetFailing())
        .line("reported load", describeTargetReport(nowNanos))
        .line("in flight", inFlight())
        .line("large transfers in flight", slots.bulkInFlight())
        .line("queued calls", queues.shortSize())
        .line("queued large transfers", queues.bulkSize())
        .line("cut-off rank", cutOff.current().rank())
        .line("pressure", pressure.value())
        .line("calls", callGraph)
        .build();
  }

  private void configure(Document d, long nowNanos) {
    if (document.filter(old -> !old.isInService(zone) && d.isInService(zone)).isPresent()) {
      targetLimit.suspectCold(nowNanos);
    }
    document = Optional.of(d);
    waitBounds.configure(d);
    targetLimit.configure(d, nowNanos);
    cutOff.setPriorityCount(d.priorities().size());
  }

  private double weight(Ticket t) {
    return document
        .flatMap(d -> t.context().account().map(d.accounts()::get))
        .map(AccountEntry::weight)
        .orElse(1.0);
  }

  /** Returns the error code for refusing every request, or empty if requests are admitted. */
  private Optional<ErrorCode> refusalReason() {
    if (targetLimit.announcement().isEmpty()) {
      return Optional.of(ErrorCode.NO_TARGET);
    }
    if (isDraining()) {
      return Optional.of(ErrorCode.DRAINING);
    }
    return document.filter(d -> !d.isInService(zone)).map(d -> ErrorCode.ZONE_OUT);
  }

  private boolean isDraining() {
    return draining || stopping || notices().isLeaving();
  }

  private void advanceTo(long nowNanos) {
    latestNanos = nowNanos;
    targetLimit.advanceTo(nowNanos);
    scarce = settings.scarcityRule().test(load(0));
    cutOff.update(targetLimit.limit(), inFlight(), nowNanos);
    pressure.update(inFlight() + queues.pressingSize(scarce), targetLimit.limit(), nowNanos);
  }

  private void startQueued(long nowNanos) {
    if (startingQueued) {
      return; // called back by a listener; the loop below goes on
    }
    startingQueued = true;
    try {
      for (Optional<Ticket> t = nextToStart(nowNanos); t.isPresent(); t = nextToStart(nowNanos)) {
        startOrRefuse(t.get(), nowNanos);
      }
    } finally {
      startingQueued = false;
    }
    if (queues.shortSize() == 0) {
      overload.recordEmptyQueue(nowNanos);
    }
  }

  private Optional<Ticket> nextToStart(long nowNanos) {
    if (!targetLimit.mayStart(nowNanos)) {
      return Optional.empty();
    }
    return slots.choose(queues.peekShort(), queues.peekBulk(), targetLimit.limit(), nowNanos);
  }

  private void startOrRefuse(Ticket t, long nowNanos) {
    queues.of(t).poll();
    if (refuseIfLate(t, nowNanos)) {
      return;
    }
    slots.acquire(t.isBulk());
    targetLimit.recordStart(nowNanos);
    t.admit(targetLimit.epoch(), nowNanos);
    running.put(t.context().requestId(), t);
    callGraph.recordStart(t.context().route());
    cutOff.recordStart(t.context().priority());
    t.listener().admitted();
  }

  /** Sheds the requests that would be served last until the queue is within its bound. */
  private void shedExcess(AdmissionQueue q, boolean estimated, long nowNanos) {
    while (!q.isWithin(targetLimit.queueBound(), estimated)) {
      Ticket t = q.last().orElseThrow();
      q.remove(t);
      shed(t, nowNanos);
    }
  }

  private void tick(long nowNanos) {
    long queueBoundNanos = overload.waitBoundNanos(nowNanos);
    queues
        .removeShortIf(
            t ->
                nowNanos - t.arrivedNanos()
                    > waitBounds.boundNanos(t.context().route(), scarce, queueBoundNanos))
        .forEach(t -> shed(t, nowNanos));
    queues
        .removeIf(t -> t.context().remainingNanos(nowNanos) <= 0)
        .forEach(t -> refuse(t, ErrorCode.DEADLINE_EXCEEDED, nowNanos));
    queues.removeIdleAccounts();
    long slow =
        running.values().stream()
            .filter(t -> t.targetEpoch() == targetLimit.epoch() && !t.isBulk())
            .filter(t -> targetLimit.isFarSlower(t.context().route(), t.selfTimeNanos(nowNanos)))
            .count();
    if (slow >= Math.max(MIN_STALLED_REQUESTS, running.size() / 2)) {
      targetLimit.recordStall(nowNanos);
    }
  }

  private boolean mayEstimateQueue() {
    return scarce && notices().requestRate().requestsPerSecond().isEmpty();
  }

  /** Sheds a request that would start too late by the estimate of its wait; returns whether so. */
  private boolean shedIfWaitIsLong(Ticket t, long nowNanos) {
    if (t.isBulk() || !scarce || startsInTime(t)) {
      return false;
    }
    shed(t, nowNanos);
    return true;
  }

  /** Returns whether a request would start early enough by the estimate of its wait. */
  private boolean startsInTime(Ticket t) {
    int ahead = queues.of(t).ahead(t);
    double heldNanos = serviceTimes.meanNanos(targetLimit.reportedLoad().slowdown(latestNanos));
    double waitNanos = ahead * heldNanos / Math.max(1, targetLimit.limit());
    return waitBounds.startsInTime(t.context().route(), waitNanos);
  }

  private void refuseAll(ErrorCode code, long nowNanos) {
    queues.removeIf(t -> true).forEach(t -> refuse(t, code, nowNanos));
  }

  private void shed(Ticket t, long nowNanos) {
    cutOff.recordShed(t.context().priority());
    overload.recordShed(nowNanos);
    refuse(t, targetLimit.shedCode(nowNanos), nowNanos);
  }

  private void refuse(Ticket t, ErrorCode code, long nowNanos) {
    refuse(t, new Verdict.NotRun(code, overload.retryAfterMillis(code, nowNanos)));
  }

  private void refuse(Ticket t, Verdict.NotRun v) {
    t.end();
    t.listener().refused(v);
  }

  /** Refuses a request that cannot finish by its deadline, and returns whether it did so. */
  private boolean refuseIfLate(Ticket t, long nowNanos) {
    double slowdown = targetLimit.reportedLoad().slowdown(nowNanos);
    Optional<Verdict.NotRun> v = serviceTimes.refusal(t.context(), slowdown, nowNanos);
    v.ifPresent(r -> refuse(t, r));
    return v.isPresent();
  }

  /** Handle of an open outbound call of a running request. */
  @FunctionalInterface
  public interface OutboundCall {
    /**
     * Marks the call as ended. Must be called exactly once.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void end(long nowNanos);
  }
}
