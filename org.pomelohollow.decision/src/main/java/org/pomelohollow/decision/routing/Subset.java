package org.pomelohollow.decision.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ZoneId;

/**
 * Chooses the members of a service that one entry sends to, so that links stay few.
 *
 * <p>Members are ranked by rendezvous hashing (Thaler and Ravishankar, 1998) of entry and member: a
 * member that comes or goes changes one place in the subset of few entries. Zones take turns, the
 * own one twice as often as each other.
 */
final class Subset {
  /** Most members of a service that an entry sends to. */
  static final int SIZE = 24;

  private static final int OWN_ZONE_TURNS = 2;

  private Subset() {}

  /**
   * Chooses members.
   *
   * @param self the entry
   * @param ownZone zone of the entry
   * @param members members of the service
   * @return all of them if they are few
   */
  static List<Member> of(MemberId self, ZoneId ownZone, List<Member> members) {
    if (members.size() <= SIZE) {
      return members;
    }
    Map<ZoneId, Deque<Member>> zones = new LinkedHashMap<>();
    members.stream()
        .sorted(Comparator.comparingLong(m -> hash(self, m.id())))
        .forEach(m -> zones.computeIfAbsent(m.zone(), z -> new ArrayDeque<>()).add(m));
    List<Member> out = new ArrayList<>();
    while (out.size() < SIZE) {
      zones.forEach((z, d) -> take(d, z.equals(ownZone) ? OWN_ZONE_TURNS : 1, out));
    }
    return List.copyOf(out);
  }

  private static void take(Deque<Member> from, int turns, List<Member> to) {
    for (int i = 0; i < turns && !from.isEmpty() && to.size() < SIZE; i++) {
      to.add(from.remove());
    }
  }

  /** Mixes two identities by the finalizer of SplitMix64. */
  private static long hash(MemberId a, MemberId b) {
    long h = a.hashCode() * 0x9E3779B97F4A7C15L + b.hashCode();
    h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
    h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
    return h ^ (h >>> 31);
  }
}
