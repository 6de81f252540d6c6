package org.pomelohollow.decision.quota;

/** Answer to a request for an account's rate. */
public sealed interface QuotaAnswer {
  /** The request is within the account's rate. */
  record Granted() implements QuotaAnswer {}

  /**
   * The account has used up its rate and burst.
   *
   * @param retryAfterMillis time until a token is expected, in milliseconds
   */
  record Exceeded(long retryAfterMillis) implements QuotaAnswer {}

  /** No token could be obtained, though the account may have some elsewhere. */
  record Unavailable() implements QuotaAnswer {}
}
