package org.pomelohollow.decision.admission;

import org.pomelohollow.model.Verdict;

/** Hears how admission of a request ended. Exactly one method is called, once. */
public interface AdmissionListener {
  /** The request may go to the target now. */
  void admitted();

  /**
   * The request is refused.
   *
   * @param verdict why
   */
  void refused(Verdict.NotRun verdict);
}
