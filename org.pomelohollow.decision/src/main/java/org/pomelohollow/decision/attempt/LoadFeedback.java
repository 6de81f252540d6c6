package org.pomelohollow.decision.attempt;

import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.model.TargetLoad;

/** Hears what targets' daemons tell of their load with answers and refusals. */
@FunctionalInterface
public interface LoadFeedback {
  /**
   * Takes a report.
   *
   * @param x the request that it came with
   * @param load the report
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void heard(Exchange x, TargetLoad load, long nowNanos);
}
