package org.pomelohollow.wire;

/** Names of header fields and paths between callers, daemons and targets. */
public final class Headers {
  /** Identifier of a call; a target sends it along with its own calls. */
  public static final String REQUEST_ID = "Pomelo-Request-Id";

  /** Time left for a request, in milliseconds. */
  public static final String TIMEOUT_MILLIS = "Pomelo-Timeout-Ms";

  /** Verdict: {@code not-run}, {@code may-have-run} or {@code ran}. */
  public static final String VERDICT = "Pomelo-Verdict";

  /** Error code of a refusal or failure. */
  public static final String ERROR = "Pomelo-Error";

  /** The caller's key for resends. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The caller's key, as {@code Bearer} token. */
  public static final String AUTHORIZATION = "Authorization";

  /** Path on the target side of a daemon that takes announcements. */
  public static final String ANNOUNCE_PATH = "/-/announce";

  /** Path on the target side of a daemon that takes withdrawals. */
  public static final String WITHDRAW_PATH = "/-/withdraw";

  private Headers() {}
}
