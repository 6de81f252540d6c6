package org.pomelohollow.decision.claim;

import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.request.Filter;
import org.pomelohollow.errors.ErrorCode;

/**
 * Refuses a non-idempotent request whose idempotency key is empty or too long. A request without a
 * key passes: it is handed to a target at most once, but a resend of it counts as a new request.
 */
public final class ClaimFilter implements Filter {
  /** Longest idempotency key, in characters. */
  public static final int MAX_KEY_LENGTH = 255;

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    boolean malformed =
        x.head()
            .idempotencyKey()
            .filter(k -> k.isEmpty() || k.length() > MAX_KEY_LENGTH)
            .isPresent();
    if (malformed && !x.route().idempotent()) {
      x.refuse(ErrorCode.REQUEST_MALFORMED);
      return;
    }
    next.proceed(x, nowNanos);
  }
}
