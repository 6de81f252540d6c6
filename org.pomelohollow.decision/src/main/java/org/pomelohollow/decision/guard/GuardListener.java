package org.pomelohollow.decision.guard;

import org.pomelohollow.model.Verdict;

/**
 * Is notified of the decision on a request at its target's daemon. Exactly one method is called,
 * once.
 */
public interface GuardListener {
  /** The request was admitted and must now be sent to the target. */
  void run();

  /**
   * The request is refused; or an earlier request has its claim, and the verdict is about that one.
   *
   * @param verdict verdict to report to the entry daemon
   */
  void refused(Verdict verdict);

  /**
   * The request has run before, so its recorded response is sent again.
   *
   * @param response the recorded response
   */
  void replay(RecordedResponse response);
}
