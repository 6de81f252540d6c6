package org.pomelohollow.decision.attempt;

import java.util.Optional;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/**
 * Receives the events of one attempt. Calls after the first call of {@code failed} or {@code
 * responseEnded} are ignored.
 */
public interface AttemptListener {
  /**
   * The head of the target's response has arrived and is forwarded to the caller.
   *
   * @param load load that the target's daemon reports
   */
  void responseStarted(TargetLoad load);

  /**
   * The attempt ended without a response.
   *
   * @param verdict reason, and whether the request may have run
   * @param load load that the target's daemon reports; empty if the daemon did not reply
   */
  void failed(Verdict verdict, Optional<TargetLoad> load);

  /**
   * The response has ended.
   *
   * @param complete whether all of the response was forwarded to the caller
   */
  void responseEnded(boolean complete);
}
