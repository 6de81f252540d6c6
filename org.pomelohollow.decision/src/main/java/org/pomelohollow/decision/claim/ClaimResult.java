package org.pomelohollow.decision.claim;

import java.util.Objects;
import org.pomelohollow.errors.ErrorCode;

/** Result of a request for a claim, given to the caller of {@link ClaimController#claim}. */
public sealed interface ClaimResult {
  /**
   * The request may run now; how it ended must be reported to {@link
   * ClaimController#reportOutcome}.
   *
   * @param id identity of the claim
   */
  record Granted(ClaimId id) implements ClaimResult {
    /** Checks the field. */
    public Granted {
      Objects.requireNonNull(id, "id");
    }
  }

  /**
   * Another request with the same key holds the claim.
   *
   * @param claim the other claim
   * @param executorAlive whether the member that runs the other request is in the roster
   */
  record Taken(ClaimRecord claim, boolean executorAlive) implements ClaimResult {
    /** Checks the field. */
    public Taken {
      Objects.requireNonNull(claim, "claim");
    }
  }

  /**
   * The request must not run.
   *
   * @param code reason of the refusal
   */
  record Refused(ErrorCode code) implements ClaimResult {
    /** Checks the field. */
    public Refused {
      Objects.requireNonNull(code, "code");
    }
  }
}
