package org.pomelohollow.decision.admission;

import java.util.Objects;
import java.util.function.Supplier;

/**
 * How a target's daemon admits requests.
 *
 * @param limit creates the algorithm that adapts the limit
 * @param slotShare share of the announced slots that is used at most, above 0 and at most 1
 * @param waits how long requests may wait
 * @param presses whether entries are told to refuse work that the target, or what it calls, can't
 *     run; a deployment whose cold targets are bounded by few slots would refuse too much
 */
public record AdmissionTerms(
    Supplier<LimitAlgorithm> limit, double slotShare, WaitPolicy waits, boolean presses) {
  /** Terms of a daemon that is told nothing else. */
  public static final AdmissionTerms STANDARD =
      new AdmissionTerms(ThroughputLimit::new, 1, WaitPolicy.STANDING_QUEUE, false);

  /** Checks the fields. */
  public AdmissionTerms {
    Objects.requireNonNull(limit, "limit");
    Objects.requireNonNull(waits, "waits");
    if (!(slotShare > 0 && slotShare <= 1)) {
      throw new IllegalArgumentException("share of slots " + slotShare);
    }
  }
}
