package org.pomelohollow.decision.claim;

import java.util.Objects;
import org.pomelohollow.errors.ErrorCode;

/** Answer to a request for a claim. */
public sealed interface ClaimAnswer {
  /**
   * The request may run now; its end must be told to {@link ClaimController#ended}.
   *
   * @param id identity of the claim
   */
  record Granted(ClaimId id) implements ClaimAnswer {
    /** Checks the field. */
    public Granted {
      Objects.requireNonNull(id, "id");
    }
  }

  /**
   * An earlier request has the claim.
   *
   * @param claim the earlier claim
   * @param executorAlive whether the member that runs it is still live
   */
  record Taken(ClaimRecord claim, boolean executorAlive) implements ClaimAnswer {
    /** Checks the field. */
    public Taken {
      Objects.requireNonNull(claim, "claim");
    }
  }

  /**
   * The request must not run.
   *
   * @param code why
   */
  record Refused(ErrorCode code) implements ClaimAnswer {
    /** Checks the field. */
    public Refused {
      Objects.requireNonNull(code, "code");
    }
  }
}
