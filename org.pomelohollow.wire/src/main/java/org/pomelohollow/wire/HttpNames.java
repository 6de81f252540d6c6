package org.pomelohollow.wire;

/** Names of HTTP header fields and paths that callers, daemons and targets exchange. */
public final class HttpNames {
  /** Identifier of a request; a target sends it with its outbound calls to name the parent. */
  public static final String REQUEST_ID = "Pomelo-Request-Id";

  /** Time left until the deadline of a request, in milliseconds. */
  public static final String TIMEOUT_MILLIS = "Pomelo-Timeout-Ms";

  /** Verdict on a request: {@code not-run}, {@code may-have-run} or {@code ran}. */
  public static final String VERDICT = "Pomelo-Verdict";

  /** Identifier of the error code of a refusal or failure, such as {@code PH-1101}. */
  public static final String ERROR = "Pomelo-Error";

  /** Idempotency key, by which a caller's resends of a request are recognized. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** API key of the caller, as a {@code Bearer} token. */
  public static final String AUTHORIZATION = "Authorization";

  /** Path at which a daemon accepts announcements of its target. */
  public static final String ANNOUNCE_PATH = "/-/announce";

  /** Path at which a daemon accepts withdrawals of its target. */
  public static final String WITHDRAW_PATH = "/-/withdraw";

  private HttpNames() {}
}
