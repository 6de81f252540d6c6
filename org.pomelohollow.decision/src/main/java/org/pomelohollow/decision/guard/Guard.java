package org.pomelohollow.decision.guard;

import java.util.function.LongSupplier;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.decision.claim.ClaimController;
import org.pomelohollow.decision.quarantine.QuarantineController;
import org.pomelohollow.decision.quarantine.SuspectLane;
import org.pomelohollow.model.RequestContext;

/** Decides on every request that reaches the daemon of its target. */
public final class Guard implements Controller {
  private final Dependencies parts;
  private final SuspectLane<GuardedRequest> lane;

  /**
   * Creates a guard.
   *
   * @param parts what it asks on every request
   */
  public Guard(Dependencies parts) {
    this.parts = parts;
    this.lane = new SuspectLane<>(parts.quarantine().settings().maxWaitNanos());
  }

  /** Returns the requests that run at the target. */
  public RunningRequests runningRequests() {
    return parts.runningRequests();
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
  public GuardedRequest offer(
      RequestContext context, boolean bulk, GuardListener listener, long nowNanos) {
    GuardedRequest c = new GuardedRequest(parts, lane, context, bulk, listener);
    c.offer(nowNanos);
    return c;
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.Tick) {
      lane.expire(nowNanos).forEach(GuardedRequest::expire);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of("guard")
        .line("running", parts.runningRequests().size())
        .line("suspects waiting", lane.waiting())
        .build();
  }

  /**
   * What a guard asks on every request.
   *
   * @param admission admits requests to the target
   * @param claims claims non-idempotent requests
   * @param quarantine knows the requests that crash targets
   * @param runningRequests requests at the target
   * @param clock monotonic time, in nanoseconds
   */
  public record Dependencies(
      AdmissionController admission,
      ClaimController claims,
      QuarantineController quarantine,
      RunningRequests runningRequests,
      LongSupplier clock) {}
}
