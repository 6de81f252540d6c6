package org.pomelohollow.decision.request;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.RequestContext;

/** Gives a request its deadline and the context that rides along with it. */
public final class DeadlineFilter implements Filter {
  private final int rootRetryAllowance;

  /**
   * Creates a filter.
   *
   * @param rootRetryAllowance extra attempts that a root request and all calls below it share
   */
  public DeadlineFilter(int rootRetryAllowance) {
    this.rootRetryAllowance = rootRetryAllowance;
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
    next.proceed(x, nowNanos);
  }

  private RequestContext root(Exchange x) {
    return new RequestContext(
        x.head().requestId(),
        x.head().requestId(),
        x.route().service(),
        x.route().name(),
        x.account(),
        x.route().priority(),
        deadline(x),
        x.route().idempotent(),
        x.head().idempotencyKey(),
        fingerprint(x),
        rootRetryAllowance,
        0);
  }

  private static RequestContext child(Exchange x, RequestContext parent) {
    return new RequestContext(
        x.head().requestId(),
        parent.rootId(),
        x.route().service(),
        x.route().name(),
        parent.account(),
        parent.priority(),
        Math.min(deadline(x), parent.deadlineNanos()),
        x.route().idempotent(),
        x.head().idempotencyKey(),
        fingerprint(x),
        parent.retryAllowance(),
        parent.depth() + 1);
  }

  private static long deadline(Exchange x) {
    long millis =
        Math.min(
            x.head().timeoutMillis().orElse(x.route().timeoutMillis()), x.route().timeoutMillis());
    return x.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static long fingerprint(Exchange x) {
    long h = x.head().contentHash();
    h = h * 31 + x.head().method().hashCode();
    h = h * 31 + x.head().path().hashCode();
    return h * 31 + x.account().hashCode();
  }
}
