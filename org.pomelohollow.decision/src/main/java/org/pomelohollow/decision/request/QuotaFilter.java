package org.pomelohollow.decision.request;

import org.pomelohollow.decision.quota.AccountRateLimiter;
import org.pomelohollow.decision.quota.QuotaResult;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Verdict;

/** Charges root requests to the rates of their client accounts. */
public final class QuotaFilter implements Filter {
  private final AccountRateLimiter quota;

  /**
   * Creates a filter.
   *
   * @param quota grants requests within the rates of client accounts
   */
  public QuotaFilter(AccountRateLimiter quota) {
    this.quota = quota;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    if (!x.context().isRoot() || x.account().isEmpty()) {
      next.proceed(x, nowNanos);
      return;
    }
    quota.acquire(x.account().get(), nowNanos, a -> applyQuotaResult(x, nowNanos, next, a));
  }

  private static void applyQuotaResult(Exchange x, long nowNanos, Chain next, QuotaResult result) {
    if (result instanceof QuotaResult.Granted) {
      next.proceed(x, nowNanos);
    } else if (result instanceof QuotaResult.Exceeded e) {
      x.refuse(new Verdict.NotRun(ErrorCode.RATE_EXCEEDED, e.retryAfterMillis()));
    } else {
      x.refuse(ErrorCode.QUOTA_UNAVAILABLE);
    }
  }
}
