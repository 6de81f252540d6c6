package org.pomelohollow.errors;

import java.util.Objects;

/** Unchecked exception with a stable code. */
public class PomelohollowException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /**
   * Creates an exception.
   *
   * @param code stable code, not null
   * @param message what went wrong, with the names needed to act on it
   */
  public PomelohollowException(ErrorCode code, String message) {
    this(code, message, null);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param code stable code, not null
   * @param message what went wrong, with the names needed to act on it
   * @param cause underlying failure, may be null
   */
  public PomelohollowException(ErrorCode code, String message, Throwable cause) {
    super(message, cause);
    this.code = Objects.requireNonNull(code, "code");
  }

  /** Returns the stable code. */
  public ErrorCode code() {
    return code;
  }
}
