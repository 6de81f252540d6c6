package org.pomelohollow.decision.guard;

import java.util.Optional;
import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.decision.admission.AdmissionListener;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.admission.Ticket;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.Verdict;

/** A request at the daemon of its target, from its arrival to its end. */
public final class GuardedCall {
  private final AdmissionController admission;
  private final RunningCalls running;
  private final RequestContext context;
  private final GuardListener listener;
  private Optional<Ticket> ticket = Optional.empty();
  private boolean runs;

  GuardedCall(
      AdmissionController admission,
      RunningCalls running,
      RequestContext context,
      GuardListener listener) {
    this.admission = admission;
    this.running = running;
    this.context = context;
    this.listener = listener;
  }

  /** Returns the request. */
  public RequestContext context() {
    return context;
  }

  /** Returns whether the answer is wanted at {@link #completed}, for resends. */
  public boolean recordsAnswer() {
    return false;
  }

  /**
   * Tells that a request that was handed to the target has ended.
   *
   * @param completion how it ended
   * @param answer the whole answer, if it is wanted and came within the bound on recorded answers
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void completed(Completion completion, Optional<RecordedAnswer> answer, long nowNanos) {
    if (!runs) {
      return;
    }
    runs = false;
    running.ended(context);
    ticket.ifPresent(t -> admission.complete(t, completion, nowNanos));
  }

  /**
   * Tells that the entry abandoned the request before it was handed to the target. A request that
   * runs ends by {@link #completed} instead.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void cancel(long nowNanos) {
    ticket.ifPresent(admission::cancel);
  }

  void admit(boolean bulk, long nowNanos) {
    AdmissionListener l =
        new AdmissionListener() {
          @Override
          public void admitted() {
            runs = true;
            running.started(context);
            listener.run();
          }

          @Override
          public void refused(Verdict.NotRun verdict) {
            listener.refused(verdict);
          }
        };
    ticket = Optional.of(admission.offer(context, bulk, l, nowNanos));
  }
}
