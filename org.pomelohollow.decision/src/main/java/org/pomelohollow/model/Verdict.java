package org.pomelohollow.model;

import java.util.Objects;
import org.pomelohollow.errors.ErrorCode;

/** Says whether a request may have run at a target. */
public sealed interface Verdict {
  /** Returns the header value towards callers. */
  String label();

  /** Returns why there is no answer; {@link ErrorCode#INTERNAL} if there is one. */
  default ErrorCode code() {
    return ErrorCode.INTERNAL;
  }

  /** Returns true if another attempt of a non-idempotent request is safe. */
  default boolean isSafeToRepeat() {
    return this instanceof NotRun;
  }

  /**
   * No byte of the request reached a target, or the target refused it as its contract defines.
   *
   * @param code why it was refused
   * @param retryAfterMillis earliest useful time for another try, in milliseconds; 0 if unknown
   */
  record NotRun(ErrorCode code, long retryAfterMillis) implements Verdict {
    /** Checks the fields. */
    public NotRun {
      Objects.requireNonNull(code, "code");
      if (retryAfterMillis < 0) {
        throw new IllegalArgumentException("retryAfterMillis " + retryAfterMillis);
      }
    }

    /**
     * Creates a refusal that gives no time for another try.
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
   * Some of the request was handed to a target and its outcome is unknown.
   *
   * @param code what was lost
   */
  record MayHaveRun(ErrorCode code) implements Verdict {
    /** Checks the field. */
    public MayHaveRun {
      Objects.requireNonNull(code, "code");
    }

    @Override
    public String label() {
      return "may-have-run";
    }
  }

  /** The target answered the request. */
  record Ran() implements Verdict {
    @Override
    public String label() {
      return "ran";
    }
  }
}
