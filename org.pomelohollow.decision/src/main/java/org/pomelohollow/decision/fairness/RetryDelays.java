package org.pomelohollow.decision.fairness;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Chooses the delay after which a refused caller is to return.
 *
 * <p>A caller obeys a delay of up to a third of the time it has left; all longer ones end at that
 * third, at the same moment for all. A response after the objective is worth less, so the delay
 * also stays below the objective. Delays are spread over the later half of what is left, since a
 * burst lasts longer and an early return would meet the same overload.
 */
public final class RetryDelays {
  /** Part of the time left within which callers return. */
  private static final double OBEYED_PART = 1.0 / 3;

  /** At 0.75, more callers met the same burst again and were refused twice. */
  private static final double OBJECTIVE_PART = 0.95;

  private static final double MIN_PART = 0.5;

  /** Below 1, as part of the caller's time has passed before the entry counts it. */
  private static final double MAX_PART = 0.95;

  private static final long MIN_DELAY_MILLIS = 20;

  private final RandomGenerator random;

  /**
   * Creates a chooser.
   *
   * @param random source of the random choices
   */
  public RetryDelays(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns a delay.
   *
   * @param remainingNanos time until the deadline of the refused request, in nanoseconds
   * @param objectiveMillis latency objective of its route, in milliseconds
   * @return the delay in milliseconds, above 0
   */
  public long delayMillis(long remainingNanos, long objectiveMillis) {
    double part = MIN_PART + random.nextDouble() * (MAX_PART - MIN_PART);
    double obeyedMillis = TimeUnit.NANOSECONDS.toMillis(remainingNanos) * OBEYED_PART;
    double millis = Math.min(obeyedMillis, objectiveMillis * OBJECTIVE_PART);
    return Math.max(MIN_DELAY_MILLIS, (long) (millis * part));
  }
}
