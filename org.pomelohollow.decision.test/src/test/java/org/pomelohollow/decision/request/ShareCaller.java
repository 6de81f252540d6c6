package org.pomelohollow.decision.request;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.admission.AdmissionListener;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.admission.Ticket;
import org.pomelohollow.decision.routing.AttemptResult;
import org.pomelohollow.document.RouteEntry;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/** A caller that sends a request, and once more if it was refused. */
final class ShareCaller {
  /** Requests that are first sent before this time are not counted, in seconds. */
  static final double MEASURED_FROM = 4;

  private static long nextId;

  private final ShareSimulation simulation;
  private final AccountId account;
  private final RouteEntry route;
  private final ShareResult result;
  private final boolean isMeasured;
  private final long firstSentNanos;
  private int refusals;

  ShareCaller(ShareSimulation simulation, String account, RouteEntry route, ShareResult result) {
    this.simulation = simulation;
    this.account = new AccountId(account);
    this.route = route;
    this.result = result;
    this.firstSentNanos = simulation.now();
    this.isMeasured = simulation.seconds() >= MEASURED_FROM;
  }

  void start() {
    result.offered += isMeasured ? 1 : 0;
    send(randomEntry());
  }

  private ShareDaemon randomEntry() {
    ShareDaemon d;
    do {
      d = simulation.daemons.get(simulation.random.nextInt(ShareSimulation.DAEMONS));
    } while (simulation.stopped.contains(d.id()));
    return d;
  }

  private void send(ShareDaemon entry) {
    long sentNanos = simulation.now();
    String id = "r" + nextId++;
    RequestHead head =
        new RequestHead(
            id,
            "GET",
            "/" + route.name() + "/",
            Optional.of("key"),
            Optional.empty(),
            Optional.empty(),
            0,
            Optional.empty());
    Exchange x = new Exchange(head, sentNanos, v -> refused(entry, v, sentNanos));
    x.setRoute(route, ShareSimulation.SERVICE);
    x.setAccount(account);
    x.setContext(
        new RequestContext(
            id,
            id,
            ShareSimulation.SERVICE,
            route.name(),
            Optional.of(account),
            route.priority(),
            firstSentNanos + TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis()),
            true,
            Optional.empty(),
            0,
            0,
            0));
    entry.filter().apply(x, sentNanos, (y, now) -> attempt(entry, y));
  }

  private void attempt(ShareDaemon entry, Exchange x) {
    Optional<MemberId> to = entry.chooseTarget();
    if (to.isEmpty()) {
      x.refuse(new Verdict.NotRun(ErrorCode.NO_TARGET));
      return;
    }
    entry.router().attemptStarted(to.get(), simulation.now());
    if (!simulation.isLinked(entry.id(), to.get())) {
      entry
          .router()
          .attemptEnded(
              to.get(),
              new AttemptResult(AttemptResult.Outcome.LOST, 0, Optional.empty()),
              simulation.now());
      x.refuse(new Verdict.NotRun(ErrorCode.UNREACHABLE));
      return;
    }
    Attempt a = new Attempt(entry, simulation.daemon(to.get()), x);
    simulation.after(ShareSimulation.LINK_NANOS, a::offer);
  }

  private void refused(ShareDaemon entry, Verdict v, long sentNanos) {
    refusals++;
    if (isMeasured) {
      result.longestRefusalNanos =
          Math.max(result.longestRefusalNanos, simulation.now() - sentNanos);
      result.refusedOnce += refusals == 1 ? 1 : 0;
      result.refusedTwice += refusals == 2 ? 1 : 0;
    }
    if (refusals == 1 && v instanceof Verdict.NotRun n) {
      long left =
          firstSentNanos + TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis()) - simulation.now();
      long delay = Math.min(TimeUnit.MILLISECONDS.toNanos(n.retryAfterMillis()), left / 3);
      // The new connection takes a few milliseconds.
      long connectNanos = simulation.random.nextLong(TimeUnit.MILLISECONDS.toNanos(10));
      simulation.after(
          delay + connectNanos,
          () -> send(simulation.sameEntry ? liveEntry(entry) : randomEntry()));
    }
  }

  private ShareDaemon liveEntry(ShareDaemon d) {
    return simulation.stopped.contains(d.id()) ? randomEntry() : d;
  }

  private void served() {
    if (isMeasured) {
      result.served++;
      long objective = TimeUnit.MILLISECONDS.toNanos(route.latencyObjectiveMillis());
      result.inTime += simulation.now() - firstSentNanos <= objective ? 1 : 0;
    }
  }

  /** One attempt at a target. */
  private final class Attempt implements AdmissionListener {
    private final ShareDaemon entry;
    private final ShareDaemon target;
    private final Exchange exchange;
    private final long startedNanos = simulation.now();
    private Ticket ticket;
    private boolean admitted;

    Attempt(ShareDaemon entry, ShareDaemon target, Exchange exchange) {
      this.entry = entry;
      this.target = target;
      this.exchange = exchange;
    }

    void offer() {
      ticket = target.admission().offer(exchange.context(), false, this, simulation.now());
      if (admitted) {
        run();
      }
    }

    @Override
    public void admitted() {
      admitted = true;
      if (ticket != null) {
        run();
      }
    }

    private void run() {
      double heldNanos = simulation.exponential(ShareSimulation.HELD_MILLIS) * 1e6;
      simulation.after((long) heldNanos, this::complete);
    }

    private void complete() {
      target.admission().complete(ticket, Completion.RESPONDED, simulation.now());
      TargetLoad load = target.admission().load(route.name());
      simulation.after(
          ShareSimulation.LINK_NANOS,
          () -> {
            end(AttemptResult.Outcome.RESPONDED, load);
            if (exchange.finish(new Verdict.Ran())) {
              served();
            }
          });
    }

    @Override
    public void refused(Verdict.NotRun verdict) {
      TargetLoad load = target.admission().load(route.name());
      simulation.after(
          ShareSimulation.LINK_NANOS,
          () -> {
            end(AttemptResult.Outcome.REFUSED, load);
            exchange.refuse(verdict);
          });
    }

    private void end(AttemptResult.Outcome o, TargetLoad load) {
      entry.recordLoad(exchange, load);
      AttemptResult r = new AttemptResult(o, simulation.now() - startedNanos, Optional.of(load));
      entry.router().attemptEnded(target.id(), r, simulation.now());
    }
  }
}
