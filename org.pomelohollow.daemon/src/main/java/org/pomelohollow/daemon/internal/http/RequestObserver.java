package org.pomelohollow.daemon.internal.http;

import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.model.Verdict;

/** Notified of the end of every request at its entry daemon. */
@FunctionalInterface
public interface RequestObserver {
  /**
   * Notifies that a request has ended.
   *
   * @param x the request
   * @param verdict outcome, and whether the request ran
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void requestEnded(Exchange x, Verdict verdict, long nowNanos);
}
