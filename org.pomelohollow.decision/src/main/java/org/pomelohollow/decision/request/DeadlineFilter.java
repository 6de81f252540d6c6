package org.pomelohollow.decision.request;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Timers;
import org.pomelohollow.decision.guard.RunningRequests;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.RequestContext;

/**
 * Sets the deadline of a request and the context that is sent along with its attempts, and ends the
 * request when the deadline passes.
 */
public final class DeadlineFilter implements Filter {
  private final int rootRetryAllowance;
  private final long maxClaimedTimeoutNanos;
  private final RunningRequests runningRequests;
  private final Timers timers;

  /**
   * Creates a filter.
   *
   * @param rootRetryAllowance number of retries that a root request and all calls below it share
   * @param maxClaimedTimeoutNanos maximum timeout of a request that is claimed, in nanoseconds, so
   *     that it ends well before its claim expires
   * @param runningRequests requests that run at this daemon's target, which share their retry
   *     allowance with their calls
   * @param timers schedules the end of requests at their deadlines
   */
  public DeadlineFilter(
      int rootRetryAllowance,
      long maxClaimedTimeoutNanos,
      RunningRequests runningRequests,
      Timers timers) {
    this.rootRetryAllowance = rootRetryAllowance;
    this.maxClaimedTimeoutNanos = maxClaimedTimeoutNanos;
    this.runningRequests = runningRequests;
    this.timers = timers;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    Optional<RequestContext> parent = x.head().parent();
    if (parent.filter(p -> p.depth() >= RequestContext.MAX_DEPTH).isPresent()) {
      x.refuse(ErrorCode.REQUEST_MALFORMED);
      return;
    }
    RequestContext c = parent.map(p -> childContext(x, p)).orElseGet(() -> rootContext(x));
    if (c.remainingNanos(nowNanos) <= 0) {
      x.refuse(ErrorCode.DEADLINE_EXCEEDED);
      return;
    }
    x.setContext(c);
    Runnable cancel =
        timers.schedule(c.deadlineNanos(), () -> x.refuse(ErrorCode.DEADLINE_EXCEEDED));
    x.onEnd(v -> cancel.run());
    next.proceed(x, nowNanos);
  }

  private RequestContext rootContext(Exchange x) {
    return new RequestContext(
        x.head().requestId(),
        x.head().requestId(),
        x.service(),
        x.route().name(),
        x.account(),
        x.priority(),
        deadlineNanos(x),
        x.route().idempotent(),
        x.head().idempotencyKey(),
        Fingerprint.of(x),
        rootRetryAllowance,
        0);
  }

  private RequestContext childContext(Exchange x, RequestContext parent) {
    return new RequestContext(
        x.head().requestId(),
        parent.rootId(),
        x.service(),
        x.route().name(),
        parent.account(),
        parent.priority(),
        Math.min(deadlineNanos(x), parent.deadlineNanos()),
        x.route().idempotent(),
        x.head().idempotencyKey(),
        Fingerprint.of(x),
        runningRequests.allocateToCall(parent.requestId()),
        parent.depth() + 1);
  }

  private long deadlineNanos(Exchange x) {
    long timeoutMillis =
        Math.min(
            x.head().timeoutMillis().orElse(x.route().timeoutMillis()), x.route().timeoutMillis());
    long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    boolean claimed = !x.route().idempotent() && x.head().idempotencyKey().isPresent();
    return x.arrivedNanos()
        + (claimed ? Math.min(timeoutNanos, maxClaimedTimeoutNanos) : timeoutNanos);
  }
}
