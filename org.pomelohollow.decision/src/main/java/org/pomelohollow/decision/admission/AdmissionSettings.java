package org.pomelohollow.decision.admission;

import java.util.Objects;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.pomelohollow.model.TargetLoad;

/**
 * Parameters of the admission at a target's daemon.
 *
 * @param limitFactory creates the algorithm that adapts the limit of requests in flight
 * @param slotShare largest share of the announced slots that is used, above 0 and at most 1
 * @param waitPolicy bound on the time that requests may be queued
 * @param reportsPressure whether load reports carry a pressure, by which entry daemons refuse
 *     requests early that the target, or a target that it calls, has no capacity for; in a
 *     deployment where a few slots bound cold targets, entry daemons would refuse too much
 * @param scarcityRule whether a load report puts account shares and estimated waits in effect for
 *     its service
 */
public record AdmissionSettings(
    Supplier<LimitAlgorithm> limitFactory,
    double slotShare,
    WaitPolicy waitPolicy,
    boolean reportsPressure,
    Predicate<TargetLoad> scarcityRule) {
  /** Parameters of a daemon whose deployment sets none. */
  public static final AdmissionSettings STANDARD =
      new AdmissionSettings(ThroughputLimit::new, 1, WaitPolicy.STANDING_QUEUE, false);

  /**
   * Creates parameters with the rule that targets report their slowdown.
   *
   * @param limitFactory creates the algorithm that adapts the limit of requests in flight
   * @param slotShare largest share of the announced slots that is used, above 0 and at most 1
   * @param waitPolicy bound on the time that requests may be queued
   * @param reportsPressure whether load reports carry a pressure
   */
  public AdmissionSettings(
      Supplier<LimitAlgorithm> limitFactory,
      double slotShare,
      WaitPolicy waitPolicy,
      boolean reportsPressure) {
    this(limitFactory, slotShare, waitPolicy, reportsPressure, TargetLoad::hasSlowdown);
  }

  /** Checks the fields. */
  public AdmissionSettings {
    Objects.requireNonNull(limitFactory, "limitFactory");
    Objects.requireNonNull(waitPolicy, "waitPolicy");
    Objects.requireNonNull(scarcityRule, "scarcityRule");
    if (!(slotShare > 0 && slotShare <= 1)) {
      throw new IllegalArgumentException("share of slots is not in (0, 1]: " + slotShare);
    }
  }
}
