package org.pomelohollow.model;

import java.util.Objects;
import org.pomelohollow.errors.ErrorCode;

/** Outcome of a request or attempt: whether it may have run at a target. */
public sealed interface Verdict {
  /** Returns the value of the verdict header that is sent to callers. */
  String label();

  /**
   * Returns the reason why there is no response; {@link ErrorCode#INTERNAL}, without meaning, if
   * there is one.
   */
  default ErrorCode code() {
    return ErrorCode.INTERNAL;
  }

  /** Returns whether another attempt is safe even if the request is not idempotent. */
  default boolean isSafeToRetry() {
    return this instanceof NotRun;
  }

  /**
   * The request did not run: no byte of it reached a target, or the target refused it in the way
   * that its contract defines.
   *
   * @param code why it was refused
   * @param retryAfterMillis time after which a retry may succeed, in milliseconds; 0 if unknown
   */
  record NotRun(ErrorCode code, long retryAfterMillis) implements Verdict {
    /** Creates a verdict after checking the range of the time. */
    public NotRun {
      Objects.requireNonNull(code, "code");
      if (retryAfterMillis < 0) {
        throw new IllegalArgumentException("retryAfterMillis " + retryAfterMillis + " is negative");
      }
    }

    /**
     * Creates a verdict without a time for a retry.
     *
     * @param code why it was refused
     */
    public NotRun(ErrorCode code) {
      this(code, 0);
    }

    @Override
    public String label() {
      return "not-run";
    }
  }

  /**
   * A part of the request was sent to a target, and the outcome is unknown.
   *
   * @param code why the outcome is unknown
   */
  record MayHaveRun(ErrorCode code) implements Verdict {
    /** Creates a verdict; the code may not be null. */
    public MayHaveRun {
      Objects.requireNonNull(code, "code");
    }

    @Override
    public String label() {
      return "may-have-run";
    }
  }

  /** The target ran the request and responded. */
  record Ran() implements Verdict {
    @Override
    public String label() {
      return "ran";
    }
  }
}
