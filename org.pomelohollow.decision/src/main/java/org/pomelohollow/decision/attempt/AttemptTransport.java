package org.pomelohollow.decision.attempt;

import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.model.MemberId;

/** Sends attempts to the daemons of targets. */
@FunctionalInterface
public interface AttemptTransport {
  /**
   * Starts an attempt.
   *
   * @param to member whose target is to execute the request
   * @param x the request
   * @param listener receives the events of the attempt, possibly before this method returns
   * @return abandons the attempt when run; later events of the attempt are dropped
   */
  Runnable start(MemberId to, Exchange x, AttemptListener listener);
}
