package org.pomelohollow.decision.guard;

import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.model.RequestContext;

/** Decides on every request that reaches the daemon of its target. */
public final class Guard {
  private final AdmissionController admission;
  private final RunningCalls running = new RunningCalls();

  /**
   * Creates a guard.
   *
   * @param admission admits requests to the target
   */
  public Guard(AdmissionController admission) {
    this.admission = admission;
  }

  /** Returns the requests that run at the target. */
  public RunningCalls running() {
    return running;
  }

  /**
   * Offers a request.
   *
   * @param context the request
   * @param bulk whether it is a large transfer
   * @param listener hears the outcome, perhaps before this method returns
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the call; its end must be told to it
   */
  public GuardedCall offer(
      RequestContext context, boolean bulk, GuardListener listener, long nowNanos) {
    GuardedCall c = new GuardedCall(admission, running, context, listener);
    c.admit(bulk, nowNanos);
    return c;
  }
}
