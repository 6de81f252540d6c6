package org.pomelohollow.decision.routing;

import org.pomelohollow.model.Member;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.SlowdownDecay;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;

/** Outstanding attempts, latency, failures and last reported load of one member. */
final class MemberStats {
  /** Time after a load report for which it is used. */
  private static final long LOAD_VALID_NANOS = 1_000_000_000L;

  /** Weight of the newest response in the mean latency. */
  private static final double LATENCY_SMOOTHING = 0.1;

  /**
   * Time without a response for which a mean latency is fully trusted; pairs of entry and target
   * that exchange a request each second keep what they know.
   */
  private static final long LATENCY_VALID_NANOS = 1_000_000_000L;

  /**
   * Time constant of the trust after that. A member whose mean is too high loses every comparison
   * and would get no response that corrects it.
   */
  private static final double LATENCY_TRUST_NANOS = 1e9;

  private static final int FAILURES_TO_EJECT = 5;

  /** Duration of the first ejection; each further one lasts twice as long, up to a bound. */
  private static final long INITIAL_EJECTION_NANOS = 2_000_000_000L;

  private static final int MAX_EJECTION_DOUBLINGS = 4;

  private int outstanding;
  private int startedSinceReport;
  private TargetLoad lastLoad = TargetLoad.UNKNOWN;
  private long loadReportedNanos = Long.MIN_VALUE;
  private double latencyNanos;

  /** Mean of the latencies, each divided by the slowdown that was reported with it. */
  private double usualLatencyNanos;

  /** Time of the last complete response; valid if there is a mean latency. */
  private long respondedNanos;

  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntilNanos = Long.MIN_VALUE;

  int outstanding() {
    return outstanding;
  }

  void attemptStarted() {
    outstanding++;
    startedSinceReport++;
  }

  /**
   * Records the result of an attempt.
   *
   * @param result the result
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the member has failed so often in a row that it should be ejected
   */
  boolean attemptEnded(AttemptResult result, long nowNanos) {
    outstanding--;
    startedSinceReport = Math.max(0, startedSinceReport - 1);
    result
        .load()
        .ifPresent(
            report -> {
              lastLoad = report;
              loadReportedNanos = nowNanos;
              startedSinceReport = 0;
            });
    if (result.outcome() == AttemptResult.Outcome.RESPONDED) {
      consecutiveFailures = 0;
      addLatency(result);
      respondedNanos = nowNanos;
    } else if (result.outcome() == AttemptResult.Outcome.LOST || isUnreachable(result)) {
      consecutiveFailures++;
    }
    return consecutiveFailures >= FAILURES_TO_EJECT && !isEjected(nowNanos);
  }

  void eject(long nowNanos) {
    ejectedUntilNanos =
        nowNanos + (INITIAL_EJECTION_NANOS << Math.min(ejections, MAX_EJECTION_DOUBLINGS));
    ejections++;
    consecutiveFailures = FAILURES_TO_EJECT - 1;
  }

  boolean isEjected(long nowNanos) {
    return ejectedUntilNanos != Long.MIN_VALUE && nowNanos < ejectedUntilNanos;
  }

  /**
   * Returns the least important priority that the member admits; {@link Priority#NONE_SHED} without
   * a recent load report.
   */
  Priority cutOff(long nowNanos) {
    return hasRecentLoad(nowNanos) ? lastLoad.cutOff() : Priority.NONE_SHED;
  }

  /** Returns the requests at the member over its limit; above 1 when requests are queued. */
  double utilization(Member m, long nowNanos) {
    int reportedRequests =
        hasRecentLoad(nowNanos) ? lastLoad.inFlight() + lastLoad.queued() + startedSinceReport : 0;
    return Math.max(outstanding, reportedRequests) / (double) limit(m, nowNanos);
  }

  /** Returns the limit that the utilization refers to: the reported one if it is recent. */
  int limit(Member m, long nowNanos) {
    int limit =
        hasRecentLoad(nowNanos) ? lastLoad.limit() : m.target().map(TargetState::limit).orElse(1);
    return Math.max(1, limit);
  }

  /** Returns the mean latency of complete responses in nanoseconds, 0 without one. */
  double latencyNanos() {
    return latencyNanos;
  }

  /** Returns the utilization after one more request. */
  double nextUtilization(Member m, long nowNanos) {
    int limit = Math.max(1, m.target().map(TargetState::limit).orElse(1));
    return utilization(m, nowNanos) + 1.0 / limit;
  }

  /** Returns whether the member's target reports its slowdown. */
  boolean hasSlowdown(long nowNanos) {
    return slowdown(nowNanos) > 0;
  }

  /**
   * Returns the expected time to completion of one more request, for the comparison with another
   * member: the utilization after it plus one, times the mean time at the usual speed, times the
   * slowdown now. The mean times of both decay towards each other with the age of the older one.
   *
   * @return the time in nanoseconds; as a multiple of the mean time if one of the two is unknown
   */
  double expectedCompletionNanos(Member m, MemberStats other, long nowNanos) {
    double slowdown = slowdown(nowNanos);
    double relative = (nextUtilization(m, nowNanos) + 1) * (slowdown > 0 ? slowdown : 1);
    if (usualLatencyNanos == 0 || other.usualLatencyNanos == 0) {
      return relative;
    }
    long ageNanos = nowNanos - Math.min(respondedNanos, other.respondedNanos);
    double trust = Math.exp(-Math.max(0, ageNanos - LATENCY_VALID_NANOS) / LATENCY_TRUST_NANOS);
    double middleNanos = (usualLatencyNanos + other.usualLatencyNanos) / 2;
    return relative * (middleNanos + trust * (usualLatencyNanos - middleNanos));
  }

  /** Returns the slowdown, which decays towards 1 with the age of the load report; 0 if unknown. */
  private double slowdown(long nowNanos) {
    return lastLoad.hasSlowdown()
        ? SlowdownDecay.decayed(lastLoad.slowdown(), nowNanos - loadReportedNanos)
        : TargetLoad.SLOWDOWN_UNKNOWN;
  }

  @Override
  public String toString() {
    return outstanding + " outstanding, " + lastLoad + ", latency " + (long) latencyNanos + " ns";
  }

  /** Returns whether the last load report is recent enough to be used. */
  boolean hasRecentLoad(long nowNanos) {
    return loadReportedNanos != Long.MIN_VALUE && nowNanos - loadReportedNanos < LOAD_VALID_NANOS;
  }

  private static boolean isUnreachable(AttemptResult result) {
    return result.outcome() == AttemptResult.Outcome.REFUSED && result.load().isEmpty();
  }

  private void addLatency(AttemptResult r) {
    double slowdown =
        r.load().filter(TargetLoad::hasSlowdown).map(TargetLoad::slowdown).orElse(1.0);
    latencyNanos = smoothed(latencyNanos, (double) r.latencyNanos());
    usualLatencyNanos = smoothed(usualLatencyNanos, r.latencyNanos() / slowdown);
    ejections = 0;
  }

  private static double smoothed(double mean, double newest) {
    return mean + (mean == 0 ? newest : LATENCY_SMOOTHING * (newest - mean));
  }
}
