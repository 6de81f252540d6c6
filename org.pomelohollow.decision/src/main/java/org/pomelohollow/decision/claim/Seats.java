package org.pomelohollow.decision.claim;

import java.util.Collection;
import java.util.List;
import org.pomelohollow.model.MemberId;

/**
 * The witnesses of a shard from one version of the ring on.
 *
 * @param epoch version of the ring that seated them, 0 before the first
 * @param witnesses their identities in order
 */
public record Seats(long epoch, List<MemberId> witnesses) {
  /** No witnesses, before the first ring. */
  static final Seats NONE = new Seats(0, List.of());

  /** Copies the list. */
  public Seats {
    witnesses = List.copyOf(witnesses);
  }

  /** Tells whether some members are a majority. */
  boolean isMajority(Collection<MemberId> members) {
    long n = witnesses.stream().filter(members::contains).count();
    return witnesses.isEmpty() || 2 * n > witnesses.size();
  }
}
