package org.pomelohollow.wire;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/**
 * Last message of an attempt that ends without a response.
 *
 * @param code identifier of the error code, such as {@code PH-1201}
 * @param mayHaveRun whether the target may have run the request
 * @param retryAfterMillis time after which a retry may succeed, in milliseconds; 0 if unknown
 * @param load load report of the target's daemon; empty if it sent none
 */
public record AttemptFailure(
    String code, boolean mayHaveRun, long retryAfterMillis, Optional<TargetLoad> load) {
  /** Creates a message; code and load may not be null. */
  public AttemptFailure {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(load, "load");
  }

  /**
   * Creates the message for a verdict.
   *
   * @param v verdict of the attempt, not {@link Verdict.Ran}
   * @param load load report of the target's daemon, if known
   * @return the message
   */
  public static AttemptFailure of(Verdict v, Optional<TargetLoad> load) {
    if (v instanceof Verdict.NotRun n) {
      return new AttemptFailure(n.code().id(), false, n.retryAfterMillis(), load);
    }
    if (v instanceof Verdict.MayHaveRun m) {
      return new AttemptFailure(m.code().id(), true, 0, load);
    }
    throw new IllegalArgumentException("verdict " + v + " is no failure of an attempt");
  }

  /** Returns the verdict of the attempt. */
  public Verdict verdict() {
    ErrorCode c = ErrorCode.of(code);
    return mayHaveRun ? new Verdict.MayHaveRun(c) : new Verdict.NotRun(c, retryAfterMillis);
  }
}
