package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.List;
import org.pomelohollow.model.MemberId;

/**
 * A version of the ring: the members that act as witnesses, and the witnesses of each shard. The
 * order of the log decides which version is next.
 *
 * @param version version of the ring, rising with every change, 0 if there is no ring yet
 * @param members members of the ring
 * @param assignments witnesses by shard, {@link #SHARD_COUNT} of them, none at version 0
 */
public record RingState(long version, List<RingMember> members, List<ShardAssignment> assignments) {
  /** Number of shards into which claim keys are divided. */
  public static final int SHARD_COUNT = 256;

  /** Number of witnesses of a shard, if the ring has as many members. */
  public static final int WITNESSES_PER_SHARD = 3;

  /** The state before the first version of the ring. */
  static final RingState EMPTY = new RingState(0, List.of(), List.of());

  /** Copies the lists. */
  public RingState {
    members = List.copyOf(members);
    assignments = List.copyOf(assignments);
    if (assignments.size() != (version == 0 ? 0 : SHARD_COUNT)) {
      throw new IllegalArgumentException(assignments.size() + " shards in ring version " + version);
    }
  }

  /** Returns the next version of the ring, with the given members. */
  RingState nextVersion(List<RingMember> newMembers) {
    return withMembers(version + 1, newMembers);
  }

  /**
   * Returns a later version of the ring, with the given members. A shard whose witnesses stay the
   * same keeps its epoch.
   */
  RingState withMembers(long newVersion, List<RingMember> newMembers) {
    RendezvousHash hash = new RendezvousHash(newMembers);
    List<ShardAssignment> newAssignments = new ArrayList<>();
    for (int s = 0; s < SHARD_COUNT; s++) {
      WitnessSet previous = isEmpty() ? WitnessSet.EMPTY : assignments.get(s).current();
      List<MemberId> w = hash.witnesses(s);
      boolean same = !isEmpty() && previous.witnesses().equals(w);
      newAssignments.add(
          same ? assignments.get(s) : new ShardAssignment(new WitnessSet(newVersion, w), previous));
    }
    return new RingState(newVersion, newMembers, newAssignments);
  }

  /** Returns whether there is no ring yet. */
  boolean isEmpty() {
    return version == 0;
  }

  /** Returns the witnesses of a shard, none before the first version of the ring. */
  ShardAssignment assignment(int shard) {
    return isEmpty()
        ? new ShardAssignment(WitnessSet.EMPTY, WitnessSet.EMPTY)
        : assignments.get(shard);
  }

  boolean contains(MemberId id) {
    return members.stream().anyMatch(m -> m.id().equals(id));
  }
}
