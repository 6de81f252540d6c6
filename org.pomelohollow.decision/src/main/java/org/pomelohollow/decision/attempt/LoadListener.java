package org.pomelohollow.decision.attempt;

import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.model.TargetLoad;

/** Receives the load that targets' daemons report with responses and refusals. */
@FunctionalInterface
public interface LoadListener {
  /**
   * Processes a load report.
   *
   * @param x the request whose response or refusal carried the report
   * @param load the reported load
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void loadReported(Exchange x, TargetLoad load, long nowNanos);
}
