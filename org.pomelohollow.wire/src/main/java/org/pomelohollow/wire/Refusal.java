package org.pomelohollow.wire;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/**
 * Ends a stream without an answer.
 *
 * @param code identifier of the error code
 * @param mayHaveRun whether the target may have run the request
 * @param retryAfterMillis earliest useful time for another try, in milliseconds, 0 if unknown
 * @param load load of the target's daemon, if it answered
 */
public record Refusal(
    String code, boolean mayHaveRun, long retryAfterMillis, Optional<TargetLoad> load) {
  /** Checks the fields. */
  public Refusal {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(load, "load");
  }

  /**
   * Creates a refusal.
   *
   * @param v the verdict, not {@link Verdict.Ran}
   * @param load load of the target's daemon, if known
   * @return the refusal
   */
  public static Refusal of(Verdict v, Optional<TargetLoad> load) {
    if (v instanceof Verdict.NotRun n) {
      return new Refusal(n.code().id(), false, n.retryAfterMillis(), load);
    }
    if (v instanceof Verdict.MayHaveRun m) {
      return new Refusal(m.code().id(), true, 0, load);
    }
    throw new IllegalArgumentException("no refusal: " + v);
  }

  /** Returns the verdict. */
  public Verdict verdict() {
    ErrorCode c = ErrorCode.of(code);
    return mayHaveRun ? new Verdict.MayHaveRun(c) : new Verdict.NotRun(c, retryAfterMillis);
  }
}
