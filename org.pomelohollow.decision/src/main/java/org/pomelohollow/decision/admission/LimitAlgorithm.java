package org.pomelohollow.decision.admission;

/**
 * Adapts the number of requests in flight at a target to what the target bears. Knows nothing of
 * slots and cold starts but their common ceiling, which it never exceeds.
 */
public interface LimitAlgorithm {
  /** Returns the most requests in flight, from 1 to the ceiling. */
  int limit();

  /**
   * Sets the highest limit.
   *
   * @param ceiling most requests in flight, at least 1
   */
  void setCeiling(int ceiling);

  /**
   * Forgets what was measured.
   *
   * @param start limit to start at, from 1 to the ceiling
   */
  void reset(int start);

  /**
   * Learns from a request that ended.
   *
   * @param sample what was measured
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void ended(Sample sample, long nowNanos);

  /**
   * What was measured of one request.
   *
   * @param ownNanos time at the target without the time in which it waited for its own outbound
   *     calls, in nanoseconds
   * @param inFlight requests in flight just before it ended
   * @param binding whether as many requests as the limit allows were in flight when it ended
   * @param completion how it ended
   */
  record Sample(long ownNanos, int inFlight, boolean binding, Completion completion) {}
}
