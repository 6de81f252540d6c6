package org.pomelohollow.decision.guard;

import java.util.function.LongSupplier;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.decision.claim.ClaimController;
import org.pomelohollow.decision.quarantine.QuarantineController;
import org.pomelohollow.decision.quarantine.SuspectQueue;
import org.pomelohollow.model.RequestContext;

/** Decides whether requests that reach the daemon of their target may run there. */
public final class Guard implements Controller {
  private final Dependencies deps;
  private final SuspectQueue<GuardedRequest> suspects;

  /**
   * Creates a guard.
   *
   * @param deps collaborators of the guard
   */
  public Guard(Dependencies deps) {
    this.deps = deps;
    this.suspects = new SuspectQueue<>(deps.quarantine().settings().maxWaitNanos());
  }

  /** Returns the registry of requests that run at the target. */
  public RunningRequests runningRequests() {
    return deps.runningRequests();
  }

  /**
   * Prepares a request, so that its listener can have the handle before it is notified.
   *
   * @param context context of the request
   * @param bulk whether it is a large transfer
   * @param listener notified of the decision
   * @return handle of the request, to be submitted by {@link GuardedRequest#offer}
   */
  public GuardedRequest prepare(RequestContext context, boolean bulk, GuardListener listener) {
    return new GuardedRequest(deps, suspects, context, bulk, listener);
  }

  /**
   * Submits a request whose listener does not report its end from within the notification.
   *
   * @param context context of the request
   * @param bulk whether it is a large transfer
   * @param listener notified of the decision, possibly before this method returns
   * @param nowNanos current monotonic time, in nanoseconds
   * @return handle of the request, to which the end of the request must be reported
   */
  public GuardedRequest offer(
      RequestContext context, boolean bulk, GuardListener listener, long nowNanos) {
    GuardedRequest request = prepare(context, bulk, listener);
    request.offer(nowNanos);
    return request;
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.Tick) {
      suspects.removeExpired(nowNanos).forEach(GuardedRequest::expire);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of("guard")
        .line("running", deps.runningRequests().size())
        .line("suspects waiting", suspects.waitingCount())
        .build();
  }

  /**
   * Collaborators of a guard.
   *
   * @param admission admits requests to the target
   * @param claims grants claims on non-idempotent requests
   * @param quarantine identifies requests that crash targets
   * @param runningRequests registry of requests that run at the target
   * @param clock monotonic time, in nanoseconds
   * @param observer observes the requests that run at the target
   */
  public record Dependencies(
      AdmissionController admission,
      ClaimController claims,
      QuarantineController quarantine,
      RunningRequests runningRequests,
      LongSupplier clock,
      TargetObserver observer) {
    /**
     * Creates collaborators without an observer.
     *
     * @param admission admits requests to the target
     * @param claims grants claims on non-idempotent requests
     * @param quarantine identifies requests that crash targets
     * @param runningRequests registry of requests that run at the target
     * @param clock monotonic time, in nanoseconds
     */
    public Dependencies(
        AdmissionController admission,
        ClaimController claims,
        QuarantineController quarantine,
        RunningRequests runningRequests,
        LongSupplier clock) {
      this(admission, claims, quarantine, runningRequests, clock, TargetObserver.NONE);
    }
  }
}
