package org.pomelohollow.decision.rollout;

import java.util.concurrent.TimeUnit;

/**
 * Bounds on what a bad version may get.
 *
 * @param exposeShare share of the requests of a service that a bad version may get between an order
 *     and its time limit, 0 to 1
 * @param exposeSlack number of requests that it may get besides
 * @param rollbackNanos time after its 50th bad response from which it may get no request, in
 *     nanoseconds
 * @param expected whether the settings say that there are roll-outs; only then is a version without
 *     an order held back when it appears
 */
public record RolloutSettings(
    double exposeShare, double exposeSlack, long rollbackNanos, boolean expected) {
  /** Bounds of the platform where its settings name none. */
  public static final RolloutSettings DEFAULT =
      new RolloutSettings(0.1, 50, TimeUnit.SECONDS.toNanos(5), false);

  /** Checks the ranges. */
  public RolloutSettings {
    if (!(exposeShare >= 0 && exposeShare <= 1) || !(exposeSlack >= 0) || rollbackNanos < 0) {
      throw new IllegalArgumentException(
          "out of range: " + exposeShare + ", " + exposeSlack + ", " + rollbackNanos);
    }
  }

  /**
   * Creates settings of a platform with roll-outs.
   *
   * @param exposeShare see the record
   * @param exposeSlack see the record
   * @param rollbackNanos see the record
   */
  public RolloutSettings(double exposeShare, double exposeSlack, long rollbackNanos) {
    this(exposeShare, exposeSlack, rollbackNanos, true);
  }
}
