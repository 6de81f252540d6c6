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

/** One call: attempts at targets, the work there, and a call to a deeper service. */
final class SimulatedCall {
  private static long nextId;

  private final LoadSimulation model;
  private final SimulatedDaemon entry;
  private final TrafficSource source;
  private final RequestContext context;
  private final double workNanos;
  private final Set<MemberId> tried = new HashSet<>();
  private Consumer<Boolean> listener = ok -> {};
  private SimulatedDaemon at;
  private Ticket ticket;
  private SimulatedTarget.Job job;
  private AdmissionController.OutboundEnd outbound = now -> {};
  private long attemptNanos;
  private boolean over;

  SimulatedCall(
      LoadSimulation model,
      SimulatedDaemon entry,
      TrafficSource source,
      Optional<RequestContext> parent,
      double workNanos) {
    this.model = model;
    this.entry = entry;
    this.source = source;
    this.workNanos = workNanos;
    String id = "r" + nextId++;
    long deadline =
        parent
            .map(RequestContext::deadlineNanos)
            .orElseGet(() -> model.now() + source.timeoutMillis() * 1_000_000);
    String service = parent.map(p -> model.childServices.get(p.route())).orElse(source.service());
    this.context =
        new RequestContext(
            id,
            parent.map(RequestContext::rootId).orElse(id),
            new ServiceId(service),
            parent.map(p -> p.route() + "-child").orElse(source.name()),
            Optional.of(new AccountId(source.account())),
            new Priority(source.rank()),
            deadline,
            false,
            Optional.empty(),
            0,
            0,
            parent.map(p -> p.depth() + 1).orElse(0));
  }

  void start(Consumer<Boolean> l) {
    listener = l;
    model.schedule(
        model.elapsedSeconds() + context.remainingNanos(model.now()) / 1e9,
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

  /** The target has done its own work. */
  void ownWorkDone() {
    if (!model.childServices.containsKey(context.route())) {
      end(Completion.ANSWERED, true);
      return;
    }
    double work = model.exponential(model.childWorkMillis.get(context.route())) * 1e6;
    outbound = at.admission().outboundStarted(context.requestId(), model.now());
    new SimulatedCall(model, at, source, Optional.of(context), work)
        .start(
            ok -> {
              outbound.at(model.now());
              end(Completion.ANSWERED, ok);
            });
  }

  void fail(Completion c) {
    if (!over) {
      end(c, false);
    }
  }

  private boolean isRefusedEarly() {
    Priority cutOff = entry.router().cutOff(context.service(), model.now());
    return model.earlyRefusalEnabled
        && context.priority().isLessImportantThan(cutOff)
        && model.random.nextDouble() >= 0.02;
  }

  private void attempt() {
    Optional<MemberId> to = entry.router().choose(context.service(), tried, model.now());
    Optional<SimulatedDaemon> d =
        to.flatMap(id -> model.daemons.stream().filter(x -> x.id().equals(id)).findFirst());
    if (d.isEmpty()) {
      finish(false);
      return;
    }
    at = d.get();
    tried.add(at.id());
    attemptNanos = model.now();
    entry.router().started(at.id());
    if (at.isHostDown()) {
      routed(AttemptResult.Outcome.LOST);
      again();
      return;
    }
    int n = tried.size();
    Ticket t = at.admission().offer(context, source.bulk(), new Listener(), model.now());
    if (tried.size() == n && !over) {
      ticket = t;
    }
  }

  private void again() {
    ticket = null;
    if (tried.size() < model.maxAttempts) {
      attempt();
    } else {
      finish(false);
    }
  }

  private void routed(AttemptResult.Outcome o) {
    Optional<TargetLoad> load =
        o == AttemptResult.Outcome.LOST ? Optional.empty() : Optional.of(at.admission().load());
    entry
        .router()
        .ended(at.id(), new AttemptResult(o, model.now() - attemptNanos, load), model.now());
  }

  private void end(Completion c, boolean ok) {
    if (over) {
      return;
    }
    if (ticket != null && job != null) {
      at.end(job);
      model.recordWork(workNanos, !ok);
      at.admission().complete(ticket, c, model.now());
      routed(
          c == Completion.ANSWERED
              ? AttemptResult.Outcome.ANSWERED
              : c == Completion.FAILED
                  ? AttemptResult.Outcome.LOST
                  : AttemptResult.Outcome.ABANDONED);
    } else if (ticket != null) {
      at.admission().cancel(ticket);
      routed(AttemptResult.Outcome.ABANDONED);
    }
    finish(ok);
  }

  private void finish(boolean ok) {
    if (!over) {
      over = true;
      listener.accept(ok);
    }
  }

  private final class Listener implements AdmissionListener {
    @Override
    public void admitted() {
      at.run(SimulatedCall.this, workNanos);
    }

    @Override
    public void refused(Verdict.NotRun verdict) {
      if (!over) {
        ticket = null;
        routed(AttemptResult.Outcome.REFUSED);
        again();
      }
    }
  }
}
