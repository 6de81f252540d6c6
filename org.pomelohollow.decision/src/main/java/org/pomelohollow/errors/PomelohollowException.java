package org.pomelohollow.errors;

import java.util.Objects;

/** Unchecked exception with a stable error code. */
public class PomelohollowException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /**
   * Creates an exception.
   *
   * @param code stable error code, not null
   * @param message what failed, with the names and values that a fix requires
   */
  public PomelohollowException(ErrorCode code, String message) {
    this(code, message, null);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param code stable error code, not null
   * @param message what failed, with the names and values that a fix requires
   * @param cause underlying failure, may be null
   */
  public PomelohollowException(ErrorCode code, String message, Throwable cause) {
    super(message, cause);
    this.code = Objects.requireNonNull(code, "code");
  }

  /** Returns the stable error code. */
  public ErrorCode code() {
    return code;
  }
}
