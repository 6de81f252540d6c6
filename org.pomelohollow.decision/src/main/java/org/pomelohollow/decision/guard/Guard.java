package org.pomelohollow.decision.guard;

import java.util.function.LongSupplier;
import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.decision.claim.ClaimController;
import org.pomelohollow.model.RequestContext;

/** Decides on every request that reaches the daemon of its target. */
public final class Guard {
  private final Parts parts;

  /**
   * Creates a guard.
   *
   * @param parts what it asks on every request
   */
  public Guard(Parts parts) {
    this.parts = parts;
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
    GuardedCall c = new GuardedCall(parts, context, listener);
    c.admit(bulk, nowNanos);
    return c;
  }

  /**
   * What a guard asks on every request.
   *
   * @param admission admits requests to the target
   * @param claims claims non-idempotent requests
   * @param running requests at the target
   * @param clock monotonic time, in nanoseconds
   */
  public record Parts(
      AdmissionController admission,
      ClaimController claims,
      RunningCalls running,
      LongSupplier clock) {}
}
