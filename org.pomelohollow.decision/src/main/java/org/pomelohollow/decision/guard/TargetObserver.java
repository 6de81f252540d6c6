package org.pomelohollow.decision.guard;

import org.pomelohollow.decision.admission.Completion;

/** Observes the requests that run at the target of this daemon. */
public interface TargetObserver {
  /** Observes nothing. */
  TargetObserver NONE =
      new TargetObserver() {
        @Override
        public void started(RunningRequest r) {}

        @Override
        public void ended(RunningRequest r, Completion c, boolean failure, long nowNanos) {}
      };

  /**
   * A request is about to be sent to the target.
   *
   * @param r the request
   */
  void started(RunningRequest r);

  /**
   * A request has ended at the target.
   *
   * @param r the request, the same object as for {@link #started}
   * @param c how it ended
   * @param failure whether its response is a failure of the target
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void ended(RunningRequest r, Completion c, boolean failure, long nowNanos);

  /** A request at the target. */
  interface RunningRequest {
    /** Returns the name of the route. */
    String route();

    /**
     * Returns the time that the request has taken at the target, without its own calls.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return time in nanoseconds
     */
    long selfTimeNanos(long nowNanos);
  }
}
