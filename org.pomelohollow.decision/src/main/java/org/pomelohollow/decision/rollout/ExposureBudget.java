package org.pomelohollow.decision.rollout;

/**
 * Computes how much of a service's traffic a version may get that may yet turn out to be bad.
 *
 * <p>In units of all requests between order and time limit, with a duration of 12 s: the canary
 * gets 0.4 x 0.1 until 0.58 of the duration, 0.023 in all; the first step of the switch 0.25 for at
 * most 1.8 s, 0.038. Together 0.061 of 0.1 are exposed until a version is judged under load.
 */
final class ExposureBudget {
  /** Part of the allowed share that the canary gets. */
  private static final double CANARY_PART = 0.4;

  /** Part of the free requests that the canary uses; services with few requests need them. */
  private static final double FREE_PART = 0.5;

  /** Part of the bound that is used: the totals of the evaluators are some 100 ms old. */
  private static final double USABLE_PART = 0.9;

  /** Part of the present rate that is expected until the time limit. */
  private static final double EXPECTED_RATE_PART = 0.5;

  /** Largest share of a canary; services with so few requests are within the free ones. */
  private static final double MAX_CANARY_SHARE = 0.5;

  /** Time since the order from which the totals tell the rate; the first ones are incomplete. */
  private static final long RATE_KNOWN_NANOS = 1_000_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  private final RolloutSettings settings;

  ExposureBudget(RolloutSettings settings) {
    this.settings = settings;
  }

  /**
   * Returns the share of the canary.
   *
   * @param seen requests of the service since the order
   * @param elapsedNanos time since the order, in nanoseconds
   * @param canaryNanos length of the canary, in nanoseconds
   * @return share, 0 to 1
   */
  double canaryShare(long seen, long elapsedNanos, long canaryNanos) {
    if (elapsedNanos < RATE_KNOWN_NANOS) {
      return CANARY_PART * settings.exposeShare();
    }
    double expected = rate(seen, elapsedNanos) * canaryNanos / NANOS_PER_SECOND;
    double free = FREE_PART * settings.exposeSlack() / Math.max(1, expected);
    return Math.min(MAX_CANARY_SHARE, CANARY_PART * settings.exposeShare() + free);
  }

  /**
   * Returns whether the canary may go on, counting only the requests seen so far.
   *
   * @param seen requests of the service since the order
   * @param exposed requests among them to the new version
   * @return whether it may get more
   */
  boolean allowsCanary(long seen, long exposed) {
    return exposed < USABLE_PART * (settings.exposeShare() * seen + settings.exposeSlack());
  }

  /**
   * Returns whether a step may be taken that may show that the version is bad.
   *
   * @param use requests so far
   * @param share share of the requests in this step, 0 to 1
   * @param reactionNanos longest time until the version is judged in it, in nanoseconds
   * @param leftNanos time until the time limit, in nanoseconds
   * @return whether what it exposes stays within the bound
   */
  boolean allowsStep(Use use, double share, long reactionNanos, long leftNanos) {
    double rate = rate(use.seen(), use.elapsedNanos());
    double atLimit = use.seen() + EXPECTED_RATE_PART * rate * leftNanos / NANOS_PER_SECOND;
    double after = use.exposed() + share * rate * reactionNanos / NANOS_PER_SECOND;
    return after <= USABLE_PART * (settings.exposeShare() * atLimit + settings.exposeSlack());
  }

  private static double rate(long seen, long elapsedNanos) {
    return seen * NANOS_PER_SECOND / Math.max(NANOS_PER_SECOND / 2, (double) elapsedNanos);
  }

  /**
   * Requests of a service since an order.
   *
   * @param seen all of them
   * @param exposed those to the new version
   * @param elapsedNanos time since the order, in nanoseconds
   */
  record Use(long seen, long exposed, long elapsedNanos) {}
}
