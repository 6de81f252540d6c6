package org.pomelohollow.decision.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.RouteEntry;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.model.ZoneId;

/**
 * Admits requests to the one target of this daemon.
 *
 * <p>At most {@link #load}'s limit of requests are at the target; that many wait at most, the most
 * important first and fair between client accounts. Large transfers wait apart and have a bound of
 * their own. A request that is refused was not handed to the target.
 */
public final class AdmissionController implements Controller {
  private static final String PART = "admission";
  private static final int LEAST_QUEUE = 8;
  private static final int LEAST_STALLED = 12;

  private final ZoneId zone;
  private final TargetLimit target;
  private final AdmissionQueue calls = new AdmissionQueue(this::weight);
  private final AdmissionQueue transfers = new AdmissionQueue(this::weight);
  private final SlotShares shares = new SlotShares();
  private final RouteTimes times = new RouteTimes();
  private final CutOff cutOff = new CutOff();
  private final Overload overload = new Overload();
  private final Pressure pressure = new Pressure(Priority.MAX_COUNT);
  private final CallGraph graph = new CallGraph();
  private final AdmissionTerms terms;
  private final Map<String, Ticket> running = new HashMap<>();
  private Optional<Document> document = Optional.empty();
  private Map<String, RouteEntry> routes = Map.of();
  private boolean draining;
  private boolean stopping;
  private boolean starting;
  private long now;

  /**
   * Creates a controller without a target.
   *
   * @param zone availability zone of this daemon
   * @param algorithm adapts the limit of a target that isn't cold
   */
  public AdmissionController(ZoneId zone, LimitAlgorithm algorithm) {
    this(zone, new AdmissionTerms(() -> algorithm, 1, WaitPolicy.STANDING_QUEUE, false));
  }

  /**
   * Creates a controller without a target.
   *
   * @param zone availability zone of this daemon
   * @param terms how requests are admitted
   */
  public AdmissionController(ZoneId zone, AdmissionTerms terms) {
    this.zone = zone;
    this.terms = terms;
    this.target = new TargetLimit(terms.limit().get(), terms.slotShare());
  }

  /**
   * Offers a request.
   *
   * @param context the request
   * @param bulk whether it is a large transfer
   * @param listener hears the outcome, perhaps before this method returns
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the request's ticket
   */
  public Ticket offer(
      RequestContext context, boolean bulk, AdmissionListener listener, long nowNanos) {
    elapse(nowNanos);
    Ticket t = new Ticket(context, bulk, nowNanos, listener);
    Optional<ErrorCode> closed = closed();
    if (closed.isPresent()) {
      refuse(t, closed.get(), nowNanos);
    } else if (!times.canFinish(context, nowNanos)) {
      refuse(t, ErrorCode.DEADLINE_EXCEEDED, nowNanos);
    } else {
      shares.offered(bulk, nowNanos);
      queue(t).add(t);
      startQueued(nowNanos);
      trim(queue(t), nowNanos);
    }
    return t;
  }

  /**
   * Ends a request that was admitted. Does nothing if it has ended or still waits.
   *
   * @param t its ticket
   * @param completion how it ended
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void complete(Ticket t, Completion completion, long nowNanos) {
    if (!t.isRunning()) {
      return;
    }
    elapse(nowNanos);
    LimitAlgorithm.Sample s =
        new LimitAlgorithm.Sample(
            t.ownNanos(nowNanos), inFlight(), inFlight() >= target.limit(), completion);
    t.end();
    running.remove(t.context().requestId(), t);
    graph.ended(t.context().route());
    shares.ended(t.isBulk());
    long held = nowNanos - t.startedNanos();
    queue(t).settle(t, held);
    if (completion == Completion.ANSWERED) {
      times.add(t.context().route(), held);
    }
    if (!t.isBulk()) {
      target.ended(t, s, nowNanos);
    }
    startQueued(nowNanos);
  }

  /**
   * Takes a request out because its caller left. Does nothing to a request that runs: that one ends
   * by {@link #complete}.
   *
   * @param t its ticket
   */
  public void cancel(Ticket t) {
    if (t.isQueued()) {
      queue(t).remove(t);
      t.end();
    }
  }

  /**
   * Tells that a running request has started a call of its own. The time that it waits for its
   * calls is not held against the target.
   *
   * @param requestId the running request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return to be run with the time when the call ends, in nanoseconds of the monotonic clock
   */
  public OutboundEnd outboundStarted(String requestId, long nowNanos) {
    Ticket t = running.get(requestId);
    if (t == null) {
      return now -> {};
    }
    t.outboundStarted(nowNanos);
    return t::outboundEnded;
  }

  /**
   * Returns the load to carry back to entries.
   *
   * @param route route of the request that is answered, whose calls may lead to fuller targets
   * @return the load
   */
  public TargetLoad load(String route) {
    return new TargetLoad(
        target.toldLimit(now),
        inFlight(),
        waiting(),
        cutOff.get(),
        terms.presses() ? Math.max(pressure.value(), graph.pressure(route, now)) : 0);
  }

  /** Returns the load of the target itself. */
  public TargetLoad load() {
    return new TargetLoad(
        target.toldLimit(now),
        inFlight(),
        waiting(),
        cutOff.get(),
        terms.presses() ? pressure.value() : 0);
  }

  /**
   * Notes that the target made a call to another service.
   *
   * @param calledRoute route of the call
   */
  public void called(String calledRoute) {
    graph.called(calledRoute);
  }

  /**
   * Notes what the daemon of a called target told of its load.
   *
   * @param calledRoute route of the call
   * @param load the load
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void heard(String calledRoute, TargetLoad load, long nowNanos) {
    graph.heard(calledRoute, load, nowNanos);
  }

  private int waiting() {
    return calls.size() + transfers.size();
  }

  /** Returns what to tell peers of the target. */
  public Optional<TargetState> targetState() {
    return target.state(draining || stopping, now);
  }

  /** Returns the number of requests at the target. */
  public int inFlight() {
    return shares.inFlight();
  }

  @Override
  public void handle(Event event, long nowNanos) {
    elapse(nowNanos);
    if (event instanceof Event.TargetAnnounced a) {
      target.announced(a.announcement(), nowNanos);
      draining = false;
    } else if (event instanceof Event.TargetWithdrawn) {
      draining = true;
    } else if (event instanceof Event.TargetLost) {
      target.lost();
    } else if (event instanceof Event.ShutdownRequested) {
      stopping = true;
    } else if (event instanceof Event.ConfigActivated c) {
      configure(c.configuration().document(), nowNanos);
    } else if (event instanceof Event.Tick) {
      tick(nowNanos);
    } else {
      return;
    }
    closed().ifPresent(code -> refuseAll(code, nowNanos));
    startQueued(nowNanos);
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of(PART)
        .line("target", target.target())
        .line("draining", draining || stopping)
        .line("cold", target.isCold(nowNanos))
        .line("limit", target.limit())
        .line("in flight", inFlight())
        .line("large transfers in flight", shares.transfers())
        .line("queued calls", calls.size())
        .line("queued large transfers", transfers.size())
        .line("cut-off rank", cutOff.get().rank())
        .line("pressure", pressure.value())
        .line("calls", graph)
        .build();
  }

  private void configure(Document d, long nowNanos) {
    if (document.filter(old -> !old.isInService(zone) && d.isInService(zone)).isPresent()) {
      target.suspectCold(nowNanos);
    }
    document = Optional.of(d);
    routes = d.routes().stream().collect(Collectors.toMap(RouteEntry::name, r -> r, (a, b) -> b));
    target.configure(d, nowNanos);
    cutOff.setPriorities(d.priorities().size());
  }

  private double weight(Ticket t) {
    return document
        .flatMap(d -> t.context().account().map(d.accounts()::get))
        .map(AccountEntry::weight)
        .orElse(1.0);
  }

  /** Returns why nothing at all is admitted, if so. */
  private Optional<ErrorCode> closed() {
    if (target.target().isEmpty()) {
      return Optional.of(ErrorCode.NO_TARGET);
    }
    if (draining || stopping) {
      return Optional.of(ErrorCode.DRAINING);
    }
    return document.filter(d -> !d.isInService(zone)).map(d -> ErrorCode.ZONE_OUT);
  }

  private void elapse(long nowNanos) {
    now = nowNanos;
    cutOff.elapse(target.limit(), inFlight(), nowNanos);
    pressure.elapse(inFlight() + waiting(), target.limit(), nowNanos);
  }

  private AdmissionQueue queue(Ticket t) {
    return t.isBulk() ? transfers : calls;
  }

  private void startQueued(long nowNanos) {
    if (starting) {
      return;
    }
    starting = true;
    try {
      for (Optional<Ticket> t = next(nowNanos); t.isPresent(); t = next(nowNanos)) {
        startOrDrop(t.get(), nowNanos);
      }
    } finally {
      starting = false;
    }
    if (calls.size() == 0) {
      overload.queueEmpty(nowNanos);
    }
  }

  private Optional<Ticket> next(long nowNanos) {
    if (!target.mayStart(nowNanos)) {
      return Optional.empty();
    }
    return shares.choose(calls.peek(), transfers.peek(), target.limit(), nowNanos);
  }

  private void startOrDrop(Ticket t, long nowNanos) {
    queue(t).poll();
    if (!times.canFinish(t.context(), nowNanos)) {
      refuse(t, ErrorCode.DEADLINE_EXCEEDED, nowNanos);
      return;
    }
    shares.started(t.isBulk());
    target.started(nowNanos);
    t.start(target.epoch(), nowNanos);
    running.put(t.context().requestId(), t);
    graph.started(t.context().route());
    cutOff.started(t.context().priority());
    t.listener().admitted();
  }

  /** Sheds what would be served last from a queue that is too long. */
  private void trim(AdmissionQueue q, long nowNanos) {
    while (q.size() > Math.max(LEAST_QUEUE, target.limit())) {
      Ticket t = q.last().orElseThrow();
      q.remove(t);
      shed(t, nowNanos);
    }
  }

  private void tick(long nowNanos) {
    long bound = overload.waitBoundNanos(nowNanos);
    calls
        .removeIf(t -> nowNanos - t.arrivedNanos() > waitBound(t, bound))
        .forEach(t -> shed(t, nowNanos));
    dropExpired(calls, nowNanos);
    dropExpired(transfers, nowNanos);
    calls.prune();
    transfers.prune();
    long slow =
        running.values().stream()
            .filter(t -> t.epoch() == target.epoch() && !t.isBulk())
            .filter(t -> target.isFarSlower(t.context().route(), t.ownNanos(nowNanos)))
            .count();
    if (slow >= Math.max(LEAST_STALLED, running.size() / 2)) {
      target.stalled();
    }
  }

  private long waitBound(Ticket t, long queueBoundNanos) {
    return terms
        .waits()
        .boundNanos(Optional.ofNullable(routes.get(t.context().route())), queueBoundNanos);
  }

  private void dropExpired(AdmissionQueue q, long nowNanos) {
    q.removeIf(t -> t.context().remainingNanos(nowNanos) <= 0)
        .forEach(t -> refuse(t, ErrorCode.DEADLINE_EXCEEDED, nowNanos));
  }

  private void refuseAll(ErrorCode code, long nowNanos) {
    for (AdmissionQueue q : List.of(calls, transfers)) {
      q.removeIf(t -> true).forEach(t -> refuse(t, code, nowNanos));
    }
  }

  private void shed(Ticket t, long nowNanos) {
    cutOff.shed(t.context().priority());
    overload.shed(nowNanos);
    refuse(t, target.isCold(nowNanos) ? ErrorCode.TARGET_COLD : ErrorCode.OVERLOADED, nowNanos);
  }

  private void refuse(Ticket t, ErrorCode code, long nowNanos) {
    t.end();
    boolean shed = code == ErrorCode.OVERLOADED || code == ErrorCode.TARGET_COLD;
    t.listener().refused(new Verdict.NotRun(code, shed ? overload.retryAfterMillis(nowNanos) : 0));
  }

  /** Ends an outbound call. */
  @FunctionalInterface
  public interface OutboundEnd {
    /**
     * Tells that the call has ended; called once.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void at(long nowNanos);
  }
}
