package org.pomelohollow.decision.admission;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.ReportedLoad;
import org.pomelohollow.model.SlowdownDecay;
import org.pomelohollow.model.TargetIncarnation;
import org.pomelohollow.model.TargetLoad;

/**
 * Keeps the load that the target of this daemon reports, with its age and the target's incarnation.
 *
 * <p>Handles hosts that become slow for some hundred milliseconds at a time, and slots that are
 * taken by requests that this daemon did not send, such as those of its former run. Reports without
 * a slowdown are ignored: on their own they say nothing that the daemon does not know sooner.
 */
public final class ReportedLoadTracker {
  /**
   * Half of the longest time over which the foreign slots are the least that were seen. Responses
   * on their way, of a few milliseconds, make requests of this daemon look foreign.
   */
  private static final long WINDOW_NANOS = 200_000_000L;

  private Optional<TargetIncarnation> target = Optional.empty();
  private Optional<ReportedLoad> report = Optional.empty();
  private long reportedNanos;
  private long windowStartNanos;
  private int windowForeign;
  private int previousForeign;
  private boolean foreignSeen;

  ReportedLoadTracker() {}

  /** Forgets the reports if the target is another incarnation than before. */
  void setTarget(TargetIncarnation t) {
    if (target.filter(t::equals).isEmpty()) {
      report = Optional.empty();
      foreignSeen = false;
      target = Optional.of(t);
    }
  }

  /**
   * Records a report, unless another incarnation sent it or it has no slowdown.
   *
   * @param from incarnation that sent it
   * @param r the report
   * @param ownInFlight requests that this daemon has at the target
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether it is the first report of the incarnation, or the first one with foreign slots
   */
  boolean record(TargetIncarnation from, ReportedLoad r, int ownInFlight, long nowNanos) {
    if (!r.hasSlowdown() || target.filter(from::equals).isEmpty()) {
      return false;
    }
    boolean first = report.isEmpty();
    boolean stale = !isValid(nowNanos);
    int foreign = (int) Math.max(0L, (long) r.running() + r.waiting() - ownInFlight);
    report = Optional.of(r);
    reportedNanos = nowNanos;
    if (stale || nowNanos - windowStartNanos >= WINDOW_NANOS) {
      boolean adjacent = !stale && nowNanos - windowStartNanos < 2 * WINDOW_NANOS;
      previousForeign = adjacent ? windowForeign : foreign;
      windowForeign = foreign;
      windowStartNanos = nowNanos;
    } else {
      windowForeign = Math.min(windowForeign, foreign);
    }
    boolean firstForeign = !foreignSeen && foreignSlots(nowNanos) > 0;
    foreignSeen |= firstForeign;
    return first || firstForeign;
  }

  /**
   * Returns the slowdown of the target's host, which decays towards 1 with the age of the report.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the slowdown; {@link TargetLoad#SLOWDOWN_UNKNOWN} without a recent report
   */
  public double slowdown(long nowNanos) {
    return report
        .map(r -> SlowdownDecay.decayed(r.believedSlowdown(), nowNanos - reportedNanos))
        .orElse(TargetLoad.SLOWDOWN_UNKNOWN);
  }

  /** Returns the slots taken by requests that this daemon did not send; 0 if that is unknown. */
  int foreignSlots(long nowNanos) {
    return isValid(nowNanos) ? Math.min(windowForeign, previousForeign) : 0;
  }

  /** Describes the last report, its age and its effect, for operators. */
  public String describe(long nowNanos) {
    if (!isValid(nowNanos)) {
      return "none";
    }
    return report.orElseThrow()
        + ", "
        + TimeUnit.NANOSECONDS.toMillis(nowNanos - reportedNanos)
        + " ms old, slowdown now "
        + slowdown(nowNanos)
        + ", foreign slots "
        + foreignSlots(nowNanos);
  }

  private boolean isValid(long nowNanos) {
    return report.isPresent() && nowNanos - reportedNanos < SlowdownDecay.VALID_NANOS;
  }
}
