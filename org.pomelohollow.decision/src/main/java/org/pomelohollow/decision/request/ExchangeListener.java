package org.pomelohollow.decision.request;

import org.pomelohollow.model.Verdict;

/** Is notified if a request is refused or fails. */
@FunctionalInterface
public interface ExchangeListener {
  /**
   * The request was refused or failed. The caller gets a problem document, or its connection is
   * closed if a response has begun.
   *
   * @param verdict verdict to report to the caller
   */
  void refused(Verdict verdict);
}
