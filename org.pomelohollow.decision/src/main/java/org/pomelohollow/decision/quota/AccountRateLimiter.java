package org.pomelohollow.decision.quota;

import java.util.function.Consumer;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.model.AccountId;

/**
 * Rate limiter that keeps the root requests of every client account within its rate and burst,
 * summed over all daemons.
 */
public interface AccountRateLimiter extends Controller {
  /**
   * Acquires one token, for one request, from an account.
   *
   * @param account the client account
   * @param nowNanos current monotonic time, in nanoseconds
   * @param callback called exactly once with the decision, during this call or shortly after it
   */
  void acquire(AccountId account, long nowNanos, Consumer<QuotaResult> callback);
}
