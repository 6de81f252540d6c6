package org.pomelohollow.decision.request;

import org.pomelohollow.model.Verdict;

/** Hears what is decided of a request. */
@FunctionalInterface
public interface ExchangeListener {
  /**
   * The caller gets a problem document, or a cut connection if an answer to it has begun.
   *
   * @param verdict what to tell the caller
   */
  void refused(Verdict verdict);
}
