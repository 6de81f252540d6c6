package org.pomelohollow.daemon.internal.http;

import org.pomelohollow.model.Verdict;

/** Hears of every request that ends at its entry. */
@FunctionalInterface
public interface RequestObserver {
  /**
   * A request has ended.
   *
   * @param verdict what the caller was told
   * @param nanos time since its arrival, in nanoseconds
   */
  void ended(Verdict verdict, long nanos);
}
