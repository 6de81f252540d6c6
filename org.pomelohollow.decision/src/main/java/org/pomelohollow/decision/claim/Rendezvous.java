package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.StableHash;
import org.pomelohollow.model.ZoneId;

/** Choice of witnesses by rendezvous hash. */
final class Rendezvous {
  private final List<Candidate> candidates;

  Rendezvous(List<RingMember> members) {
    candidates =
        members.stream().map(m -> new Candidate(m, StableHash.of(m.id().toString()))).toList();
  }

  /**
   * Returns the witnesses of a shard: the members with the least hashes, one per zone first.
   *
   * @return {@link RingState#WITNESSES} members, or all if there are fewer, in order
   */
  List<MemberId> witnesses(int shard) {
    Comparator<Candidate> order =
        Comparator.<Candidate>comparingLong(c -> StableHash.mix(c.hash ^ StableHash.mix(shard)))
            .thenComparing(c -> c.member.id());
    Map<ZoneId, Candidate> best = new HashMap<>();
    for (Candidate c : candidates) {
      best.merge(c.member.zone(), c, (a, b) -> order.compare(a, b) <= 0 ? a : b);
    }
    List<Candidate> out = new ArrayList<>(best.values());
    out.sort(order);
    if (out.size() < RingState.WITNESSES) {
      candidates.stream().filter(c -> !out.contains(c)).sorted(order).forEach(out::add);
    }
    return out.stream().limit(RingState.WITNESSES).map(c -> c.member.id()).sorted().toList();
  }

  private record Candidate(RingMember member, long hash) {}
}
