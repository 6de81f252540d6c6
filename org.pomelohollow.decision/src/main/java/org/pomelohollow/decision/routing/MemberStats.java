package org.pomelohollow.decision.routing;

import org.pomelohollow.model.Member;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;

/** What an entry has measured of one member. */
final class MemberStats {
  private static final long FRESH_NANOS = 1_000_000_000L;
  private static final double LATENCY_GAIN = 0.1;
  private static final int FAILURES_TO_EJECT = 5;
  private static final long FIRST_EJECTION_NANOS = 2_000_000_000L;
  private static final int MOST_DOUBLINGS = 4;

  private int outstanding;
  private int startedSinceReport;
  private TargetLoad load = TargetLoad.UNKNOWN;
  private long loadNanos = Long.MIN_VALUE;
  private double latencyNanos;
  private int failures;
  private int ejections;
  private long ejectedUntilNanos = Long.MIN_VALUE;

  int outstanding() {
    return outstanding;
  }

  void attemptStarted() {
    outstanding++;
    startedSinceReport++;
  }

  /** Returns true if the member has failed so often in a row that it should be ejected. */
  boolean attemptEnded(AttemptResult r, long nowNanos) {
    outstanding--;
    startedSinceReport = Math.max(0, startedSinceReport - 1);
    r.load()
        .ifPresent(
            l -> {
              load = l;
              loadNanos = nowNanos;
              startedSinceReport = 0;
            });
    if (r.outcome() == AttemptResult.Outcome.ANSWERED) {
      failures = 0;
      learnLatency(r.latencyNanos());
    } else if (r.outcome() == AttemptResult.Outcome.LOST || isUnreachable(r)) {
      failures++;
    }
    return failures >= FAILURES_TO_EJECT && !isEjected(nowNanos);
  }

  void eject(long nowNanos) {
    ejectedUntilNanos = nowNanos + (FIRST_EJECTION_NANOS << Math.min(ejections, MOST_DOUBLINGS));
    ejections++;
    failures = FAILURES_TO_EJECT - 1;
  }

  boolean isEjected(long nowNanos) {
    return ejectedUntilNanos != Long.MIN_VALUE && nowNanos < ejectedUntilNanos;
  }

  /** Returns the least important priority that the member admits, if that is known of late. */
  Priority cutOff(long nowNanos) {
    return isFresh(nowNanos) ? load.cutOff() : Priority.NONE_SHED;
  }

  /** Returns work at hand over what the member takes at once; above 1 when requests wait. */
  double utilization(Member m, long nowNanos) {
    boolean fresh = isFresh(nowNanos);
    int limit = fresh ? load.limit() : m.target().map(TargetState::limit).orElse(1);
    int others = fresh ? load.inFlight() + load.queued() + startedSinceReport : 0;
    return Math.max(outstanding, others) / (double) Math.max(1, limit);
  }

  /** Returns the mean latency of whole answers, 0 while there is none. */
  double latencyNanos() {
    return latencyNanos;
  }

  /** Returns the utilization that one more request would make. */
  double nextUtilization(Member m, long nowNanos) {
    int limit = Math.max(1, m.target().map(TargetState::limit).orElse(1));
    return utilization(m, nowNanos) + 1.0 / limit;
  }

  @Override
  public String toString() {
    return outstanding + " outstanding, " + load + ", latency " + (long) latencyNanos + " ns";
  }

  private boolean isFresh(long nowNanos) {
    return loadNanos != Long.MIN_VALUE && nowNanos - loadNanos < FRESH_NANOS;
  }

  private static boolean isUnreachable(AttemptResult r) {
    return r.outcome() == AttemptResult.Outcome.REFUSED && r.load().isEmpty();
  }

  private void learnLatency(long nanos) {
    latencyNanos += latencyNanos == 0 ? nanos : LATENCY_GAIN * (nanos - latencyNanos);
    ejections = 0;
  }
}
