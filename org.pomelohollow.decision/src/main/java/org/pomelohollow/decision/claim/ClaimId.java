package org.pomelohollow.decision.claim;

import java.util.Objects;
import org.pomelohollow.model.MemberId;

/**
 * Identity of one claim.
 *
 * @param executor member whose target is to run the request
 * @param sequence number of the claim in that run of the member
 */
public record ClaimId(MemberId executor, long sequence) {
  /** Checks the field. */
  public ClaimId {
    Objects.requireNonNull(executor, "executor");
  }
}
