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

/** Decides on every request that reaches the daemon of its target. */
public final class Guard implements Controller {
  private final Parts parts;
  private final SuspectQueue<GuardedCall> lane;

  /**
   * Creates a guard.
   *
   * @param parts what it asks on every request
   */
  public Guard(Parts parts) {
    this.parts = parts;
    this.lane = new SuspectQueue<>(parts.quarantine().settings().maxWaitNanos());
  }

  /** Returns the requests that run at the target. */
  public RunningCalls running() {
    return parts.running();
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
    GuardedCall c = new GuardedCall(parts, lane, context, bulk, listener);
    c.offer(nowNanos);
    return c;
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.Tick) {
      lane.removeExpired(nowNanos).forEach(GuardedCall::waitedTooLong);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of("guard")
        .line("running", parts.running().size())
        .line("suspects waiting", lane.waitingCount())
        .build();
  }

  /**
   * What a guard asks on every request.
   *
   * @param admission admits requests to the target
   * @param claims claims non-idempotent requests
   * @param quarantine knows the requests that crash targets
   * @param running requests at the target
   * @param clock monotonic time, in nanoseconds
   */
  public record Parts(
      AdmissionController admission,
      ClaimController claims,
      QuarantineController quarantine,
      RunningCalls running,
      LongSupplier clock) {}
}
