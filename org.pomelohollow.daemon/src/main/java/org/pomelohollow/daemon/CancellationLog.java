package org.pomelohollow.daemon;

import java.util.Optional;
import org.pomelohollow.daemon.internal.call.CancellationObserver;
import org.pomelohollow.daemon.internal.io.LineBudget;
import org.tinylog.Logger;

/** Counts and logs the attempts at this host's target that their entry daemons gave up. */
final class CancellationLog implements CancellationObserver {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final DaemonMetrics metrics;
  private final LineBudget lines = new LineBudget();

  CancellationLog(DaemonMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void cancelled(String requestId, Optional<Long> sentNanos, long nowNanos) {
    metrics.recordCancelledAttempt(sentNanos.isPresent());
    if (lines.trySpend(nowNanos)) {
      Logger.info(
          "target: {} cancelled by its entry daemon, sent_ms={} lines_dropped={}",
          requestId,
          sentNanos.map(n -> Long.toString((nowNanos - n) / NANOS_PER_MILLI)).orElse("-"),
          lines.takeDropped());
    }
  }
}
