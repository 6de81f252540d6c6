package org.pomelohollow.decision.attempt;

import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.model.MemberId;

/** Carries attempts to the daemons of targets. */
@FunctionalInterface
public interface AttemptTransport {
  /**
   * Starts an attempt.
   *
   * @param to member whose target is to run the request
   * @param x the request
   * @param listener hears of the attempt, perhaps before this method returns
   * @return abandons the attempt when run; what comes of it afterwards is dropped
   */
  Runnable start(MemberId to, Exchange x, AttemptListener listener);
}
