package org.pomelohollow.decision.request;

import java.util.function.LongPredicate;
import org.pomelohollow.errors.ErrorCode;

/**
 * Refuses root requests that need an API key while the configuration is so old that a withdrawn key
 * might still be accepted. Calls of running requests are not refused.
 */
public final class StaleConfigurationFilter implements Filter {
  private final LongPredicate stale;

  /**
   * Creates a filter.
   *
   * @param stale returns whether the configuration is too old to trust at a monotonic time in
   *     nanoseconds
   */
  public StaleConfigurationFilter(LongPredicate stale) {
    this.stale = stale;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    boolean needsKey = !x.route().open() && x.head().parent().isEmpty();
    if (needsKey && stale.test(nowNanos)) {
      x.refuse(ErrorCode.STALE_CONFIGURATION);
      return;
    }
    next.proceed(x, nowNanos);
  }
}
