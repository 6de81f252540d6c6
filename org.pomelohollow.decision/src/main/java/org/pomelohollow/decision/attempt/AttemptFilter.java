package org.pomelohollow.decision.attempt;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Timers;
import org.pomelohollow.decision.quarantine.QuarantineController;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.request.Filter;
import org.pomelohollow.decision.routing.Router;

/** Last filter of the chain: sends a request to a target and retries it where that is safe. */
public final class AttemptFilter implements Filter {
  private final Dependencies deps;

  /**
   * Creates a filter.
   *
   * @param deps collaborators of the attempts
   */
  public AttemptFilter(Dependencies deps) {
    this.deps = deps;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    new AttemptSequence(x, deps).start();
  }

  /**
   * Collaborators of the attempts.
   *
   * @param router chooses targets
   * @param transport sends attempts to the daemons of targets
   * @param timers schedules retries after their backoff
   * @param clock monotonic time, in nanoseconds
   * @param random source of backoff jitter
   * @param settings bounds on the retries of one request
   * @param budgets bounds on the retries to each service
   * @param quarantine identifies suspect requests, which may run on one target only
   * @param feedback receives the load reports of targets' daemons
   */
  public record Dependencies(
      Router router,
      AttemptTransport transport,
      Timers timers,
      LongSupplier clock,
      RandomGenerator random,
      RetrySettings settings,
      RetryBudgets budgets,
      QuarantineController quarantine,
      LoadListener feedback) {}
}
