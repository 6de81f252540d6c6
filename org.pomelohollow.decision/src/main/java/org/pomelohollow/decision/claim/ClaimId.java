package org.pomelohollow.decision.claim;

import java.util.Comparator;
import java.util.Objects;
import org.pomelohollow.model.MemberId;

/**
 * Identity of a claim.
 *
 * @param executor member whose target is to run the request
 * @param sequence number of the claim among those of this incarnation of the executor, from 1
 */
public record ClaimId(MemberId executor, long sequence) implements Comparable<ClaimId> {
  private static final Comparator<ClaimId> ORDER =
      Comparator.comparing(ClaimId::executor).thenComparingLong(ClaimId::sequence);

  /** Checks the field. */
  public ClaimId {
    Objects.requireNonNull(executor, "executor");
  }

  @Override
  public int compareTo(ClaimId o) {
    return ORDER.compare(this, o);
  }
}
