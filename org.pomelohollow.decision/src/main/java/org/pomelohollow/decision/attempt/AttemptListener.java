package org.pomelohollow.decision.attempt;

import java.util.Optional;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/** Hears of one attempt. Calls after the first of {@code refused} and {@code ended} are ignored. */
public interface AttemptListener {
  /**
   * The head of the target's answer is here and goes to the caller.
   *
   * @param load load of the target's daemon
   */
  void answered(TargetLoad load);

  /**
   * There is no answer.
   *
   * @param verdict whether the request may have run
   * @param load load of the target's daemon, if it said why
   */
  void refused(Verdict verdict, Optional<TargetLoad> load);

  /**
   * The answer has ended.
   *
   * @param complete whether all of it reached the caller
   */
  void ended(boolean complete);
}
