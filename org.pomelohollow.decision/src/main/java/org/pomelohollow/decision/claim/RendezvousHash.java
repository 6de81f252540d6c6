package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.StableHash;
import org.pomelohollow.model.ZoneId;

/** Chooses the witnesses of each shard by rendezvous hashing. */
final class RendezvousHash {
  private final List<Candidate> candidates;

  RendezvousHash(List<RingMember> members) {
    candidates =
        members.stream().map(m -> new Candidate(m, StableHash.of(m.id().toString()))).toList();
  }

  /**
   * Returns the witnesses of a shard: the members with the least hashes, at most one of each
   * availability zone unless there are fewer zones than witnesses.
   *
   * @param shard number of the shard, from 0
   * @return {@link RingState#WITNESSES_PER_SHARD} members, or all if there are fewer, ordered by
   *     identity
   */
  List<MemberId> witnesses(int shard) {
    Comparator<Candidate> order =
        Comparator.<Candidate>comparingLong(c -> StableHash.mix(c.hash ^ StableHash.mix(shard)))
            .thenComparing(c -> c.member.id());
    Map<ZoneId, Candidate> firstByZone = new HashMap<>();
    for (Candidate c : candidates) {
      firstByZone.merge(c.member.zone(), c, (a, b) -> order.compare(a, b) <= 0 ? a : b);
    }
    List<Candidate> chosen = new ArrayList<>(firstByZone.values());
    chosen.sort(order);
    if (chosen.size() < RingState.WITNESSES_PER_SHARD) {
      candidates.stream().filter(c -> !chosen.contains(c)).sorted(order).forEach(chosen::add);
    }
    return chosen.stream()
        .limit(RingState.WITNESSES_PER_SHARD)
        .map(c -> c.member.id())
        .sorted()
        .toList();
  }

  private record Candidate(RingMember member, long hash) {}
}
