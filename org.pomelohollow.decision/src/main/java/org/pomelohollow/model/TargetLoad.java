package org.pomelohollow.model;

import java.util.Objects;

/**
 * Load of a target's daemon, carried back on every answer and refusal.
 *
 * @param limit requests in flight that the daemon admits at present
 * @param inFlight requests at the target
 * @param queued requests that wait
 * @param cutOff least important priority that is still admitted; {@link Priority#NONE_SHED} if all
 *     are
 * @param pressure share of the least important requests that entries should refuse, for the target
 *     itself or for what its calls lead to; from 1 on all of them and a share of the next ones
 */
public record TargetLoad(int limit, int inFlight, int queued, Priority cutOff, double pressure) {
  /** Nothing is known. */
  public static final TargetLoad UNKNOWN = new TargetLoad(1, 0, 0, Priority.NONE_SHED, 0);

  /**
   * Creates the load of a target that presses on nobody.
   *
   * @param limit requests in flight that the daemon admits at present
   * @param inFlight requests at the target
   * @param queued requests that wait
   * @param cutOff least important priority that is still admitted
   */
  public TargetLoad(int limit, int inFlight, int queued, Priority cutOff) {
    this(limit, inFlight, queued, cutOff, 0);
  }

  /** Checks the fields. */
  public TargetLoad {
    Objects.requireNonNull(cutOff, "cutOff");
  }

  /** Returns work at hand over work admitted at once; above 1 when requests wait. */
  public double utilization() {
    return (inFlight + queued) / (double) Math.max(1, limit);
  }
}
