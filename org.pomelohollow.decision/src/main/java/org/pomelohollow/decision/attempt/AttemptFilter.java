package org.pomelohollow.decision.attempt;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Timers;
import org.pomelohollow.decision.quarantine.QuarantineController;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.request.Filter;
import org.pomelohollow.decision.routing.Router;

/** Ends the chain: sends a request to a target, and to another one where that is safe. */
public final class AttemptFilter implements Filter {
  private final Parts parts;

  /**
   * Creates a filter.
   *
   * @param parts what attempts need
   */
  public AttemptFilter(Parts parts) {
    this.parts = parts;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    new Attempts(x, parts).start();
  }

  /**
   * What attempts need.
   *
   * @param router chooses targets
   * @param transport carries attempts
   * @param timers wakes attempts that wait
   * @param clock monotonic time, in nanoseconds
   * @param random source of jitter
   * @param settings bounds on extra attempts
   * @param budgets bounds on extra attempts per service
   * @param quarantine knows the requests that may run on one target only
   * @param feedback hears what targets' daemons tell of their load
   */
  public record Parts(
      Router router,
      AttemptTransport transport,
      Timers timers,
      LongSupplier clock,
      RandomGenerator random,
      RetrySettings settings,
      RetryBudgets budgets,
      QuarantineController quarantine,
      LoadFeedback feedback) {}
}
