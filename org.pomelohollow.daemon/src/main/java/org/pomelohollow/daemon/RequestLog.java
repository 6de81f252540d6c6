package org.pomelohollow.daemon;

import java.util.function.Supplier;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Verdict;
import org.tinylog.Logger;

/**
 * Logs one line for each request that was refused or that failed. A token bucket limits the lines
 * per second; the next line names the number of lines dropped, and the metrics count all requests.
 */
final class RequestLog {
  /**
   * Enough lines to have examples of each kind; an overloaded service refuses hundreds per second.
   */
  private static final double LINES_PER_SECOND = 20;

  private static final double BURST_LINES = 100;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Supplier<String> configuration;
  private double availableLines = BURST_LINES;
  private long refilledNanos;
  private long droppedLines;

  /**
   * Creates a request log.
   *
   * @param configuration returns the change that made the active configuration
   */
  RequestLog(Supplier<String> configuration) {
    this.configuration = configuration;
  }

  /**
   * Logs a request that has ended, unless it ran, its caller cancelled it or the rate of lines is
   * exceeded.
   *
   * @param x the request
   * @param v its verdict
   * @param nowNanos time of the monotonic clock, in nanoseconds
   */
  void requestEnded(Exchange x, Verdict v, long nowNanos) {
    if (v instanceof Verdict.Ran || v.code() == ErrorCode.CANCELLED) {
      return;
    }
    double elapsedSeconds = (nowNanos - refilledNanos) / NANOS_PER_SECOND;
    availableLines = Math.min(BURST_LINES, availableLines + elapsedSeconds * LINES_PER_SECOND);
    refilledNanos = nowNanos;
    if (availableLines < 1) {
      droppedLines++;
      return;
    }
    availableLines--;
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
        droppedLines);
    droppedLines = 0;
  }
}
