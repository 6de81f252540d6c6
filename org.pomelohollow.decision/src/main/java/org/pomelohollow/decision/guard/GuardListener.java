package org.pomelohollow.decision.guard;

import org.pomelohollow.model.Verdict;

/** Hears what becomes of a request at its target's daemon. Exactly one method is called, once. */
public interface GuardListener {
  /** The request is to be handed to the target now. */
  void run();

  /**
   * The request is refused, or the fate of an earlier run of it is told.
   *
   * @param verdict what to tell the entry
   */
  void refused(Verdict verdict);

  /**
   * The request ran before; its answer is repeated.
   *
   * @param answer the recorded answer
   */
  void replay(RecordedResponse answer);
}
