package org.pomelohollow.decision.claim;

import java.util.Collection;
import java.util.List;
import org.pomelohollow.model.MemberId;

/**
 * The witnesses of a shard during one epoch of the shard.
 *
 * @param epoch version of the ring that assigned these witnesses, 0 before the first
 * @param witnesses identities of the witnesses, in order
 */
public record WitnessSet(long epoch, List<MemberId> witnesses) {
  /** The empty set, before the first version of the ring. */
  static final WitnessSet EMPTY = new WitnessSet(0, List.of());

  /** Copies the list. */
  public WitnessSet {
    witnesses = List.copyOf(witnesses);
  }

  /**
   * Returns whether the given members include a majority of the witnesses; true for no witnesses.
   */
  boolean hasMajorityIn(Collection<MemberId> members) {
    long count = witnesses.stream().filter(members::contains).count();
    return witnesses.isEmpty() || 2 * count > witnesses.size();
  }
}
