package org.pomelohollow.daemon;

import java.util.function.Supplier;
import org.pomelohollow.daemon.internal.io.LineBudget;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Verdict;
import org.tinylog.Logger;

/**
 * Logs one line for each request that was refused, that failed or whose caller left before its
 * response. The volume is bounded; a line names the number of lines dropped before it, and the
 * metrics count all requests.
 */
final class RequestLog {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Supplier<String> configuration;
  private final LineBudget failures = new LineBudget();
  private final LineBudget cancellations = new LineBudget();

  /**
   * Creates a request log.
   *
   * @param configuration returns the change that made the active configuration
   */
  RequestLog(Supplier<String> configuration) {
    this.configuration = configuration;
  }

  /**
   * Logs a request that has ended, unless it ran or the rate of lines is exceeded.
   *
   * @param x the request
   * @param v its verdict
   * @param nowNanos time of the monotonic clock, in nanoseconds
   */
  void requestEnded(Exchange x, Verdict v, long nowNanos) {
    if (v instanceof Verdict.Ran) {
      return;
    }
    LineBudget budget = v.code() == ErrorCode.CANCELLED ? cancellations : failures;
    if (!budget.trySpend(nowNanos)) {
      return;
    }
    Logger.info(
        "request: id={} host={} path={} route={} service={} account={} outcome={} code={} {}"
            + " after_ms={} config={} lines_dropped={}",
        x.head().requestId(),
        x.head().host().orElse("-"),
        x.head().path(),
        x.routeName().orElse("-"),
        x.serviceName().orElse("-"),
        x.account().map(AccountId::value).orElse("-"),
        v.label(),
        v.code().id(),
        v.code(),
        (nowNanos - x.arrivedNanos()) / NANOS_PER_MILLI,
        configuration.get(),
        budget.takeDropped());
  }
}
