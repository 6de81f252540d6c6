package org.pomelohollow.model;

import java.util.Objects;

/**
 * Load report of a target's daemon, sent back with every response and refusal.
 *
 * @param limit current limit of requests in flight at the target
 * @param inFlight number of requests in flight at the target
 * @param queued number of requests in the daemon's queue
 * @param cutOff least important priority that is still admitted; {@link Priority#NONE_SHED} if all
 *     are
 * @param pressure share of the least important requests that entry daemons should refuse, to
 *     relieve the target itself or the targets that its calls reach. From 1 on, all requests of the
 *     least important priority and a share of the next one.
 * @param slowdown time that work takes on the target's host now, relative to its usual time; above
 *     1 if it is slower, {@link #SLOWDOWN_UNKNOWN} if the target does not report it
 */
public record TargetLoad(
    int limit, int inFlight, int queued, Priority cutOff, double pressure, double slowdown) {
  /** Slowdown of a target that does not report it. */
  public static final double SLOWDOWN_UNKNOWN = 0;

  /** Load of a target that nothing is known about. */
  public static final TargetLoad UNKNOWN =
      new TargetLoad(1, 0, 0, Priority.NONE_SHED, 0, SLOWDOWN_UNKNOWN);

  /** Load of a service whose targets refuse all requests of a kind. */
  public static final TargetLoad REFUSING =
      new TargetLoad(1, 1, 0, Priority.NONE_SHED, 1, SLOWDOWN_UNKNOWN);

  /**
   * Creates a load report without pressure.
   *
   * @param limit current limit of requests in flight at the target
   * @param inFlight number of requests in flight at the target
   * @param queued number of requests in the daemon's queue
   * @param cutOff least important priority that is still admitted
   */
  public TargetLoad(int limit, int inFlight, int queued, Priority cutOff) {
    this(limit, inFlight, queued, cutOff, 0);
  }

  /**
   * Creates a load report of a target that does not report its slowdown.
   *
   * @param limit current limit of requests in flight at the target
   * @param inFlight number of requests in flight at the target
   * @param queued number of requests in the daemon's queue
   * @param cutOff least important priority that is still admitted
   * @param pressure share of the least important requests that entry daemons should refuse
   */
  public TargetLoad(int limit, int inFlight, int queued, Priority cutOff, double pressure) {
    this(limit, inFlight, queued, cutOff, pressure, SLOWDOWN_UNKNOWN);
  }

  /** Returns whether the target reports its slowdown. */
  public boolean hasSlowdown() {
    return slowdown > 0;
  }

  /** Creates a load report; the cut-off may not be null. */
  public TargetLoad {
    Objects.requireNonNull(cutOff, "cutOff");
  }

  /** Returns the requests in flight and queued, divided by the limit; above 1 if requests queue. */
  public double utilization() {
    return (inFlight + queued) / (double) Math.max(1, limit);
  }
}
