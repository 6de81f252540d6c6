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
final class ModelCall {
  private static long nextId;

  private final LoadModel model;
  private final ModelDaemon entry;
  private final Source source;
  private final RequestContext context;
  private final double workNanos;
  private final Set<MemberId> tried = new HashSet<>();
  private Consumer<Boolean> listener = ok -> {};
  private ModelDaemon at;
  private Ticket ticket;
  private ModelTarget.Job job;
  private AdmissionController.OutboundCall outbound = now -> {};
  private long attemptNanos;
  private boolean over;

  ModelCall(
      LoadModel model,
      ModelDaemon entry,
      Source source,
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
    String service = parent.map(p -> model.children.get(p.route())).orElse(source.service());
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
    model.at(
        model.second() + context.remainingNanos(model.now()) / 1e9,
        () -> broken(Completion.TIMED_OUT));
    if (isRefusedEarly()) {
      finish(false);
    } else {
      attempt();
    }
  }

  void setJob(ModelTarget.Job j) {
    job = j;
  }

  /** The target has done its own work. */
  void worked() {
    if (!model.children.containsKey(context.route())) {
      end(Completion.ANSWERED, true);
      return;
    }
    double work = model.exponential(model.childWorkMillis.get(context.route())) * 1e6;
    outbound = at.admission().startOutboundCall(context.requestId(), model.now());
    new ModelCall(model, at, source, Optional.of(context), work)
        .start(
            ok -> {
              outbound.end(model.now());
              end(Completion.ANSWERED, ok);
            });
  }

  void broken(Completion c) {
    if (!over) {
      end(c, false);
    }
  }

  private boolean isRefusedEarly() {
    Priority cutOff = entry.router().cutOff(context.service(), model.now());
    return model.earlyRefusal
        && context.priority().isLessImportantThan(cutOff)
        && model.random.nextDouble() >= 0.02;
  }

  private void attempt() {
    Optional<MemberId> to = entry.router().choose(context.service(), tried, model.now());
    Optional<ModelDaemon> d =
        to.flatMap(id -> model.daemons.stream().filter(x -> x.id().equals(id)).findFirst());
    if (d.isEmpty()) {
      finish(false);
      return;
    }
    at = d.get();
    tried.add(at.id());
    attemptNanos = model.now();
    entry.router().attemptStarted(at.id());
    if (at.isLost()) {
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
    if (tried.size() < model.mostAttempts) {
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
        .attemptEnded(at.id(), new AttemptResult(o, model.now() - attemptNanos, load), model.now());
  }

  private void end(Completion c, boolean ok) {
    if (over) {
      return;
    }
    if (ticket != null && job != null) {
      at.end(job);
      model.used(workNanos, !ok);
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
      at.run(ModelCall.this, workNanos);
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
