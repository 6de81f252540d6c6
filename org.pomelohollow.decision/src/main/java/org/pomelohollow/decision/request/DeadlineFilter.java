package org.pomelohollow.decision.request;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Timers;
import org.pomelohollow.decision.guard.RunningRequests;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.RequestContext;

/**
 * Gives a request its deadline and the context that rides along with it, and ends it when the
 * deadline passes.
 */
public final class DeadlineFilter implements Filter {
  private final int rootRetryAllowance;
  private final long maxClaimedNanos;
  private final RunningRequests running;
  private final Timers timers;

  /**
   * Creates a filter.
   *
   * @param rootRetryAllowance extra attempts that a root request and all calls below it share
   * @param maxClaimedNanos longest time for a request that is claimed, in nanoseconds, so that it
   *     ends well before its claim expires
   * @param running requests that run at this daemon's target, whose calls share their allowance
   * @param timers wakes the filter at deadlines
   */
  public DeadlineFilter(
      int rootRetryAllowance, long maxClaimedNanos, RunningRequests running, Timers timers) {
    this.rootRetryAllowance = rootRetryAllowance;
    this.maxClaimedNanos = maxClaimedNanos;
    this.running = running;
    this.timers = timers;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    Optional<RequestContext> parent = x.head().parent();
    if (parent.filter(p -> p.depth() >= RequestContext.MAX_DEPTH).isPresent()) {
      x.refuse(ErrorCode.REQUEST_MALFORMED);
      return;
    }
    RequestContext c = parent.map(p -> child(x, p)).orElseGet(() -> root(x));
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

  private RequestContext root(Exchange x) {
    return new RequestContext(
        x.head().requestId(),
        x.head().requestId(),
        x.service(),
        x.route().name(),
        x.account(),
        x.priority(),
        deadline(x),
        x.route().idempotent(),
        x.head().idempotencyKey(),
        Fingerprint.of(x),
        rootRetryAllowance,
        0);
  }

  private RequestContext child(Exchange x, RequestContext parent) {
    return new RequestContext(
        x.head().requestId(),
        parent.rootId(),
        x.service(),
        x.route().name(),
        parent.account(),
        parent.priority(),
        Math.min(deadline(x), parent.deadlineNanos()),
        x.route().idempotent(),
        x.head().idempotencyKey(),
        Fingerprint.of(x),
        running.allocateToCall(parent.requestId()),
        parent.depth() + 1);
  }

  private long deadline(Exchange x) {
    long millis =
        Math.min(
            x.head().timeoutMillis().orElse(x.route().timeoutMillis()), x.route().timeoutMillis());
    long nanos = TimeUnit.MILLISECONDS.toNanos(millis);
    boolean claimed = !x.route().idempotent() && x.head().idempotencyKey().isPresent();
    return x.arrivedNanos() + (claimed ? Math.min(nanos, maxClaimedNanos) : nanos);
  }
}
