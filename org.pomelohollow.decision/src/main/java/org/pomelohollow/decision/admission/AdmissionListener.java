package org.pomelohollow.decision.admission;

import org.pomelohollow.model.Verdict;

/**
 * Receives the outcome of the admission of one request. At most one of the methods is called, and
 * only once; neither is called for a request that was cancelled while it was queued.
 */
public interface AdmissionListener {
  /** Called when the request may be sent to the target. */
  void admitted();

  /**
   * Called when the request is refused; it has not been sent to the target.
   *
   * @param verdict reason of the refusal, and when the request may be sent again
   */
  void refused(Verdict.NotRun verdict);
}
