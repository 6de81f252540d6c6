package org.pomelohollow.decision.request;

import java.util.function.LongPredicate;
import org.pomelohollow.errors.ErrorCode;

/**
 * Refuses root requests that need a key while a withdrawn key might still pass. Calls below a
 * request that was let in go on.
 */
public final class StaleConfigurationFilter implements Filter {
  private final LongPredicate stale;

  /**
   * Creates a filter.
   *
   * @param stale tells for a time in nanoseconds whether the configuration is too old to trust
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
