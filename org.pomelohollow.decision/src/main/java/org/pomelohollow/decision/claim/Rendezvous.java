package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ZoneId;

/** Choice of witnesses by rendezvous hash. */
final class Rendezvous {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final List<Candidate> candidates;

  Rendezvous(List<RingMember> members) {
    candidates = members.stream().map(m -> new Candidate(m, hash(m.id().toString()))).toList();
  }

  /** Hashes a text, the same in every process. */
  static long hash(String text) {
    long h = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      h = (h ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(h);
  }

  /**
   * Returns the witnesses of a shard: the members with the least hashes, one per zone first.
   *
   * @return {@link RingState#WITNESSES} members, or all if there are fewer, in order
   */
  List<MemberId> witnesses(int shard) {
    Comparator<Candidate> order =
        Comparator.<Candidate>comparingLong(c -> mix(c.hash ^ mix(shard)))
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

  private static long mix(long h) {
    long z = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }

  private record Candidate(RingMember member, long hash) {}
}
