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
 * Deterministic subset of the members of a service to which one entry daemon sends requests. It
 * bounds the number of links.
 *
 * <p>Members are ranked by rendezvous hashing (Thaler and Ravishankar, 1998) of the identities of
 * entry daemon and member: a member that joins or leaves changes one element of the subsets of few
 * entry daemons. Members are taken from the availability zones in turn, and from the own zone twice
 * as many as from each other zone.
 */
final class Subset {
  /** Largest number of members of a service that an entry daemon sends to. */
  static final int SIZE = 24;

  private static final int OWN_ZONE_MEMBERS_PER_TURN = 2;

  private Subset() {}

  /**
   * Chooses the subset of an entry daemon.
   *
   * @param self the entry daemon
   * @param ownZone availability zone of the entry daemon
   * @param members members of the service
   * @return the subset; all members if there are at most {@link #SIZE}
   */
  static List<Member> of(MemberId self, ZoneId ownZone, List<Member> members) {
    if (members.size() <= SIZE) {
      return members;
    }
    Map<ZoneId, Deque<Member>> zones = new LinkedHashMap<>();
    members.stream()
        .sorted(Comparator.comparingLong(m -> hash(self, m.id())))
        .forEach(m -> zones.computeIfAbsent(m.zone(), z -> new ArrayDeque<>()).add(m));
    List<Member> chosen = new ArrayList<>();
    while (chosen.size() < SIZE) {
      zones.forEach(
          (z, ranked) ->
              moveFirst(ranked, z.equals(ownZone) ? OWN_ZONE_MEMBERS_PER_TURN : 1, chosen));
    }
    return List.copyOf(chosen);
  }

  private static void moveFirst(Deque<Member> from, int count, List<Member> to) {
    for (int i = 0; i < count && !from.isEmpty() && to.size() < SIZE; i++) {
      to.add(from.remove());
    }
  }

  /** Hashes two identities with the finalizer of SplitMix64. */
  private static long hash(MemberId a, MemberId b) {
    long h = a.hashCode() * 0x9E3779B97F4A7C15L + b.hashCode();
    h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
    h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
    return h ^ (h >>> 31);
  }
}
