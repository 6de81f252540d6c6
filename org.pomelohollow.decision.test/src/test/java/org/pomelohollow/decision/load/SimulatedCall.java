package org.pomelohollow.decision.load;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.decision.admission.AdmissionListener;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.admission.Ticket;
import org.pomelohollow.decision.routing.AttemptResult;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/**
 * A request or call: its attempts, its work at a target, and possibly a call to another service.
 */
final class SimulatedCall {
  private static long nextId;

  private final LoadSimulation simulation;
  private final SimulatedDaemon entry;
  private final TrafficSource source;
  private final RequestContext context;
  private final double workNanos;
  private final Set<MemberId> tried = new HashSet<>();
  private Consumer<Boolean> listener = ok -> {};
  private SimulatedDaemon executor;
  private Ticket ticket;
  private SimulatedTarget.Job job;
  private AdmissionController.OutboundCall outbound = now -> {};
  private long attemptStartedNanos;
  private boolean inTransit;
  private boolean refused;
  private boolean ended;

  SimulatedCall(
      LoadSimulation simulation,
      SimulatedDaemon entry,
      TrafficSource source,
      Optional<RequestContext> parent,
      double workNanos) {
    this.simulation = simulation;
    this.entry = entry;
    this.source = source;
    this.workNanos = workNanos;
    String id = "r" + nextId++;
    long deadlineNanos =
        parent
            .map(RequestContext::deadlineNanos)
            .orElseGet(() -> simulation.now() + source.timeoutMillis() * 1_000_000);
    String service =
        parent.map(p -> simulation.childServices.get(p.route())).orElse(source.service());
    this.context =
        new RequestContext(
            id,
            parent.map(RequestContext::rootId).orElse(id),
            new ServiceId(service),
            parent.map(p -> p.route() + "-child").orElse(source.name()),
            Optional.of(new AccountId(source.account())),
            new Priority(source.rank()),
            deadlineNanos,
            false,
            Optional.empty(),
            0,
            0,
            parent.map(p -> p.depth() + 1).orElse(0));
  }

  void start(Consumer<Boolean> l) {
    listener = l;
    simulation.schedule(
        simulation.elapsedSeconds() + context.remainingNanos(simulation.now()) / 1e9,
        () -> fail(Completion.TIMED_OUT));
    if (isRefusedEarly()) {
      finish(false);
    } else {
      attempt();
    }
  }

  void setJob(SimulatedTarget.Job j) {
    job = j;
  }

  /** Continues after the target's own work: makes the call to another service, if any, or ends. */
  void ownWorkDone() {
    if (!simulation.childServices.containsKey(context.route())) {
      end(Completion.RESPONDED, true);
      return;
    }
    double childWorkNanos =
        simulation.exponential(simulation.childWorkMillis.get(context.route())) * 1e6;
    outbound = executor.admission().startOutboundCall(context.requestId(), simulation.now());
    new SimulatedCall(simulation, executor, source, Optional.of(context), childWorkNanos)
        .start(
            ok -> {
              outbound.end(simulation.now());
              end(Completion.RESPONDED, ok);
            });
  }

  void fail(Completion c) {
    if (!ended) {
      end(c, false);
    }
  }

  private boolean isRefusedEarly() {
    Priority cutOff = entry.router().cutOff(context.service(), simulation.now());
    return simulation.earlyRefusalEnabled
        && context.priority().isLessImportantThan(cutOff)
        && simulation.random.nextDouble() >= 0.02;
  }

  private void attempt() {
    Optional<MemberId> to = entry.router().choose(context.service(), tried, simulation.now());
    Optional<SimulatedDaemon> d =
        to.flatMap(id -> simulation.daemons.stream().filter(x -> x.id().equals(id)).findFirst());
    if (d.isEmpty()) {
      finish(false);
      return;
    }
    executor = d.get();
    tried.add(executor.id());
    attemptStartedNanos = simulation.now();
    entry.router().attemptStarted(executor.id(), simulation.now());
    if (executor.isHostDown()) {
      reportToRouter(AttemptResult.Outcome.LOST);
      retryOrFinish();
      return;
    }
    simulation.links.recordAttempt(entry.zone(), executor.zone(), simulation.elapsedSeconds());
    inTransit = true;
    if (isLinkBroken()) {
      afterMillis(SimulatedZoneLinks.FAILURE_MILLIS, this::linkFailed);
    } else {
      afterMillis(linkDelayMillis(), this::arrive);
    }
  }

  private void linkFailed() {
    if (!ended) {
      inTransit = false;
      reportToRouter(AttemptResult.Outcome.LOST);
      retryOrFinish();
    }
  }

  /** Offers the request to the executor, after its way over the link. */
  private void arrive() {
    if (ended) {
      return;
    }
    inTransit = false;
    refused = false;
    int attemptsBefore = tried.size();
    Ticket t = executor.admission().offer(context, source.bulk(), new Listener(), simulation.now());
    if (tried.size() == attemptsBefore && !refused && !ended) {
      ticket = t;
    }
  }

  private boolean isLinkBroken() {
    return simulation.links.isBroken(entry.zone(), executor.zone());
  }

  private double linkDelayMillis() {
    return simulation.links.delayMillis(entry.zone(), executor.zone());
  }

  /** Runs an action after a time, at once if that is 0. */
  private void afterMillis(double millis, Runnable action) {
    if (millis == 0) {
      action.run();
    } else {
      simulation.schedule(simulation.elapsedSeconds() + millis / 1e3, action);
    }
  }

  private void retryOrFinish() {
    ticket = null;
    if (tried.size() < simulation.maxAttempts) {
      attempt();
    } else {
      finish(false);
    }
  }

  private void reportToRouter(AttemptResult.Outcome o) {
    Optional<TargetLoad> load =
        o == AttemptResult.Outcome.LOST
            ? Optional.empty()
            : Optional.of(executor.admission().load());
    entry
        .router()
        .attemptEnded(
            executor.id(),
            new AttemptResult(o, simulation.now() - attemptStartedNanos, load),
            simulation.now());
  }

  private void end(Completion c, boolean ok) {
    if (ended) {
      return;
    }
    if (ticket != null && job != null) {
      executor.removeJob(job);
      simulation.recordWork(workNanos, !ok);
      if (c == Completion.RESPONDED) {
        executor.reportLoad(simulation.loadReporting);
      }
      executor.admission().complete(ticket, c, simulation.now());
      ticket = null;
      AttemptResult.Outcome o =
          c == Completion.RESPONDED
              ? AttemptResult.Outcome.RESPONDED
              : c == Completion.FAILED
                  ? AttemptResult.Outcome.LOST
                  : AttemptResult.Outcome.ABANDONED;
      afterMillis(
          c == Completion.TIMED_OUT ? 0 : linkDelayMillis(),
          () -> {
            reportToRouter(o);
            finish(ok);
          });
      return;
    } else if (inTransit) {
      reportToRouter(AttemptResult.Outcome.LOST);
    } else if (ticket != null) {
      executor.admission().cancel(ticket);
      reportToRouter(AttemptResult.Outcome.ABANDONED);
    }
    finish(ok);
  }

  private void finish(boolean ok) {
    if (!ended) {
      ended = true;
      listener.accept(ok);
    }
  }

  private final class Listener implements AdmissionListener {
    @Override
    public void admitted() {
      executor.startJob(SimulatedCall.this, workNanos);
    }

    @Override
    public void refused(Verdict.NotRun verdict) {
      if (!ended) {
        ticket = null;
        refused = true;
        afterMillis(linkDelayMillis(), this::refusalArrived);
      }
    }

    private void refusalArrived() {
      reportToRouter(AttemptResult.Outcome.REFUSED);
      if (!ended) {
        retryOrFinish();
      }
    }
  }
}
