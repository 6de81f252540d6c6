package org.pomelohollow.errors;

/** Stable error codes for refusals, failures and invalid input. */
public enum ErrorCode {
  /** No route matches the method and path. */
  ROUTE_UNKNOWN("PH-1001", 404),
  /** The API key is missing, malformed, unknown or revoked. */
  KEY_REJECTED("PH-1002", 401),
  /** The request is malformed. */
  REQUEST_MALFORMED("PH-1003", 400),
  /** The request's headers or body exceed a configured limit. */
  REQUEST_TOO_LARGE("PH-1004", 413),
  /** The client account has used up its rate and burst. */
  RATE_EXCEEDED("PH-1101", 429),
  /** A token of the client account could not be obtained in time. */
  QUOTA_UNAVAILABLE("PH-1102", 503),
  /** The target or the service is overloaded and sheds requests of this priority. */
  OVERLOADED("PH-1201", 503),
  /** No target of the service accepts requests. */
  NO_TARGET("PH-1202", 503),
  /** The target is in cold start and has no capacity left. */
  TARGET_COLD("PH-1203", 503),
  /** The daemon is shutting down or its target is draining. */
  DRAINING("PH-1204", 503),
  /** The availability zone is out of service. */
  ZONE_OUT("PH-1205", 503),
  /** The target refused the request before running it. */
  TARGET_REFUSED("PH-1206", 503),
  /** The target accepts no more requests per second. */
  TARGET_RATE_LIMITED("PH-1207", 503),
  /** The deadline of the request passed. */
  DEADLINE_EXCEEDED("PH-1301", 504),
  /** The caller cancelled the request or disconnected, or a command was interrupted. */
  CANCELLED("PH-1302", 499),
  /** A peer or target could not be reached; nothing was sent. */
  UNREACHABLE("PH-1303", 503),
  /** The connection to a peer or target broke after the request was sent. */
  CONNECTION_LOST("PH-1304", 502),
  /** The target's response was malformed or truncated. */
  ANSWER_MALFORMED("PH-1305", 502),
  /** The request is in quarantine because it is suspected of crashing targets. */
  QUARANTINED("PH-1401", 503),
  /** A request with the same idempotency key is still running. */
  CLAIM_IN_PROGRESS("PH-1402", 409),
  /** The idempotency key was used with a different request. */
  CLAIM_MISMATCH("PH-1403", 422),
  /** No witness for the claim is available. */
  CLAIM_UNAVAILABLE("PH-1404", 503),
  /** The memory limit for claims is reached. */
  CLAIMS_FULL("PH-1405", 503),
  /** An earlier request with this idempotency key may have run, and its response is lost. */
  CLAIM_OUTCOME_UNKNOWN("PH-1406", 503),
  /** A non-idempotent request came without an idempotency key. */
  CLAIM_KEY_MISSING("PH-1407", 400),
  /** The request is suspected of crashing a target and may run on one other target only. */
  SUSPECTED("PH-1408", 503),
  /** The daemon has no active configuration. */
  NO_CONFIGURATION("PH-1501", 503),
  /** The daemon has been disconnected from the log and all peers for too long. */
  STALE_CONFIGURATION("PH-1502", 503),
  /** An outbound call refers to no running request of the target. */
  PARENT_UNKNOWN("PH-1503", 403),
  /** The input is not valid TOML. */
  TOML_SYNTAX("PH-2001", 0),
  /** A key is not known in this table. */
  TOML_UNKNOWN_KEY("PH-2002", 0),
  /** A value has the wrong type. */
  TOML_WRONG_TYPE("PH-2003", 0),
  /** A required key is missing. */
  TOML_MISSING_KEY("PH-2004", 0),
  /** A value is outside its range. */
  TOML_OUT_OF_RANGE("PH-2005", 0),
  /** An environment variable that the settings refer to is not set. */
  TOML_DANGLING_VARIABLE("PH-2006", 0),
  /** A name refers to an entry that is not defined. */
  DOCUMENT_DANGLING_NAME("PH-2101", 0),
  /** A name, API key or account is defined twice. */
  DOCUMENT_DUPLICATE("PH-2102", 0),
  /** Two routes match the same request with equal precedence. */
  DOCUMENT_ROUTE_OVERLAP("PH-2103", 0),
  /** No availability zone, or none of those of a service, is in service. */
  DOCUMENT_NO_ZONE("PH-2104", 0),
  /** The base version of a publication is not the active version. */
  CONFIG_BASE_MISMATCH("PH-2201", 0),
  /** The outcome of a publication is unknown. */
  CONFIG_OUTCOME_UNKNOWN("PH-2202", 0),
  /** A published document is invalid. */
  CONFIG_INVALID("PH-2203", 0),
  /** The platform log is unreachable. */
  LOG_UNAVAILABLE("PH-2301", 0),
  /** A message, log record or frame could not be decoded. */
  WIRE_MALFORMED("PH-2401", 0),
  /** A file could not be read. */
  FILE_UNREADABLE("PH-2501", 0),
  /** An address could not be bound. */
  ADDRESS_UNAVAILABLE("PH-2502", 0),
  /** The handshake with a peer failed. */
  HANDSHAKE_FAILED("PH-2601", 0),
  /** A defect in this program. */
  INTERNAL("PH-9001", 500);

  private final String id;
  private final int httpStatus;

  ErrorCode(String id, int httpStatus) {
    this.id = id;
    this.httpStatus = httpStatus;
  }

  /** Returns the stable identifier, such as {@code PH-1101}. */
  public String id() {
    return id;
  }

  /** Returns the HTTP status sent to callers, or 0 for codes that are never sent to callers. */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns the code with a stable identifier.
   *
   * @param id an identifier such as {@code PH-1101}
   * @return the code; {@link #INTERNAL} if the identifier is unknown, as from a newer version
   */
  public static ErrorCode of(String id) {
    for (ErrorCode c : values()) {
      if (c.id.equals(id)) {
        return c;
      }
    }
    return INTERNAL;
  }
}
