package org.pomelohollow.decision.admission;

/**
 * Adaptive concurrency limit: adapts the number of requests in flight to the capacity of a target.
 * Slots and cold starts reach it only as a ceiling, which the limit never exceeds.
 */
public interface LimitAlgorithm {
  /** Returns the highest number of requests in flight, from 1 to the ceiling. */
  int limit();

  /**
   * Sets the upper bound of the limit. A limit at the old ceiling moves to the new one.
   *
   * @param ceiling upper bound of the limit, at least 1
   */
  void setCeiling(int ceiling);

  /**
   * Discards all measurements and starts again.
   *
   * @param start limit to start with, from 1 to the ceiling
   */
  void reset(int start);

  /**
   * Adapts the limit to the measurement of one request, taken when it ended.
   *
   * @param sample the measurement
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void onSample(Sample sample, long nowNanos);

  /**
   * Measurement of one request.
   *
   * @param selfTimeNanos self time of the request: its time at the target without the time during
   *     which its outbound calls were open, in nanoseconds
   * @param inFlight requests in flight just before the request ended
   * @param atLimit whether the limit was reached just before the request ended
   * @param completion how the request ended
   */
  record Sample(long selfTimeNanos, int inFlight, boolean atLimit, Completion completion) {}
}
