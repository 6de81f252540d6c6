package org.pomelohollow.daemon;

import java.util.function.LongSupplier;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Verdict;
import org.tinylog.Logger;

/**
 * Writes a line for each request that its entry refused or that failed. Under load only so many a
 * second are written; the others are counted, and the metrics count all of them.
 */
final class RequestLog {
  /** An engineer needs examples of each kind; a full service refuses hundreds a second. */
  private static final double LINES_PER_SECOND = 20;

  private static final double BURST_LINES = 100;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final LongSupplier configVersion;
  private double lines = BURST_LINES;
  private long atNanos;
  private long dropped;

  /**
   * Creates a log.
   *
   * @param configVersion gives the version of the configuration in force, 0 if none
   */
  RequestLog(LongSupplier configVersion) {
    this.configVersion = configVersion;
  }

  void ended(Exchange x, Verdict v, long nowNanos) {
    if (v instanceof Verdict.Ran || v.code() == ErrorCode.CANCELLED) {
      return;
    }
    double passed = (nowNanos - atNanos) / NANOS_PER_SECOND;
    lines = Math.min(BURST_LINES, lines + passed * LINES_PER_SECOND);
    atNanos = nowNanos;
    if (lines < 1) {
      dropped++;
      return;
    }
    lines--;
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
        configVersion.getAsLong(),
        dropped);
    dropped = 0;
  }
}
