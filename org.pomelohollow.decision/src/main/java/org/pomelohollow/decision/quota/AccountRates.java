package org.pomelohollow.decision.quota;

import java.util.function.Consumer;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.model.AccountId;

/** Keeps the root requests of every client account within its rate, over all daemons. */
public interface AccountRates extends Controller {
  /**
   * Asks for one request's worth of an account's rate.
   *
   * @param account the account
   * @param nowNanos current monotonic time, in nanoseconds
   * @param answer called once, at once or shortly after
   */
  void acquire(AccountId account, long nowNanos, Consumer<QuotaAnswer> answer);
}
