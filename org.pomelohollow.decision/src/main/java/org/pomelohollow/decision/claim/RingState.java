package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.List;
import org.pomelohollow.model.MemberId;

/**
 * Which members witness claims, as the log has ordered it.
 *
 * @param version number of changes so far, 0 if none
 * @param members the members
 * @param shards seats by shard
 */
public record RingState(long version, List<RingMember> members, List<ShardSeats> shards) {
  /** Parts of the space of claim keys. */
  public static final int SHARDS = 256;

  /** Witnesses of a shard. */
  public static final int WITNESSES = 3;

  /** No ring. */
  static final RingState NONE = new RingState(0, List.of(), List.of());

  /** Copies the lists. */
  public RingState {
    members = List.copyOf(members);
    shards = List.copyOf(shards);
    if (shards.size() != (version == 0 ? 0 : SHARDS)) {
      throw new IllegalArgumentException(shards.size() + " shards in version " + version);
    }
  }

  /** Returns the next version, with other members. */
  RingState next(List<RingMember> newMembers) {
    return at(version + 1, newMembers);
  }

  /** Returns a later version, with other members. */
  RingState at(long newVersion, List<RingMember> newMembers) {
    Rendezvous order = new Rendezvous(newMembers);
    List<ShardSeats> out = new ArrayList<>();
    for (int s = 0; s < SHARDS; s++) {
      Seats old = isNone() ? Seats.NONE : shards.get(s).now();
      List<MemberId> w = order.witnesses(s);
      boolean same = !isNone() && old.witnesses().equals(w);
      out.add(same ? shards.get(s) : new ShardSeats(new Seats(newVersion, w), old));
    }
    return new RingState(newVersion, newMembers, out);
  }

  boolean isNone() {
    return version == 0;
  }

  /** Returns the seats of a shard; nobody's before the first ring. */
  ShardSeats seats(int shard) {
    return isNone() ? new ShardSeats(Seats.NONE, Seats.NONE) : shards.get(shard);
  }

  boolean contains(MemberId id) {
    return members.stream().anyMatch(m -> m.id().equals(id));
  }
}
