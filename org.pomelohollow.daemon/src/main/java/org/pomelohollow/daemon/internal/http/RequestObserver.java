package org.pomelohollow.daemon.internal.http;

import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.model.Verdict;

/** Hears of requests that end at their entry. */
@FunctionalInterface
public interface RequestObserver {
  /**
   * A request ended.
   *
   * @param x the request
   * @param verdict what is known of it
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void ended(Exchange x, Verdict verdict, long nowNanos);
}
