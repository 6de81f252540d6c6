package org.pomelohollow.decision.quota;

/** Decision of the rate limiter on one request of a client account. */
public sealed interface QuotaResult {
  /** A token was taken for the request: it is within the account's rate and burst. */
  record Granted() implements QuotaResult {}

  /**
   * The account has no token left: its rate and burst are used up.
   *
   * @param retryAfterMillis time until a token is expected, in milliseconds
   */
  record Exceeded(long retryAfterMillis) implements QuotaResult {}

  /**
   * No token could be obtained in time, for example because a holder is unreachable. It isn't known
   * whether the account has any left.
   */
  record Unavailable() implements QuotaResult {}
}
