package org.pomelohollow.decision.request;

import java.util.random.RandomGenerator;
import org.pomelohollow.decision.routing.Router;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.Verdict;

/**
 * Refuses a request whose priority every target of its service has lately cut off, before it is
 * charged to its account and before any work is done for it. A small share passes, so that the end
 * of the overload is noticed.
 */
public final class EarlyRefusalFilter implements Filter {
  private static final double PROBE_SHARE = 0.02;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final Router router;
  private final RandomGenerator random;

  /**
   * Creates a filter.
   *
   * @param router knows the cut-offs
   * @param random chooses the requests that pass
   */
  public EarlyRefusalFilter(Router router, RandomGenerator random) {
    this.router = router;
    this.random = random;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    Priority cutOff = router.cutOff(x.context().service(), nowNanos);
    if (x.context().priority().isLessImportantThan(cutOff) && random.nextDouble() >= PROBE_SHARE) {
      x.refuse(new Verdict.NotRun(ErrorCode.OVERLOADED, RETRY_AFTER_MILLIS));
      return;
    }
    next.proceed(x, nowNanos);
  }
}
