package org.pomelohollow.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.pomelohollow.model.MemberId;

/**
 * Selects the neighbours of a daemon: the nearest members on both sides of it on several rings,
 * each of which orders the hosts by a different hash. Daemons with equal rosters compute the same
 * graph of neighbours.
 *
 * <p>The union of a few such rings is an expander graph, in which every member is monitored by
 * several others and an update spreads in few hops, as in Rapid (Suresh et al. 2018). Half of the
 * rings hold only the daemon's own availability zone, so that the graph of a zone that is cut off
 * stays connected.
 */
final class NeighbourRings {
  private static final int FLEET_RINGS = 2;
  private static final int ZONE_RINGS = 2;
  private static final int RINGS = FLEET_RINGS + ZONE_RINGS;

  private NeighbourRings() {}

  /**
   * Returns the positions of a host on all rings.
   *
   * @param host name of the host
   * @return its position on each ring, by index of the ring
   */
  static long[] positions(String host) {
    long[] out = new long[RINGS];
    for (int i = 0; i < RINGS; i++) {
      out[i] = Hashes.mix(Hashes.of(host) + i);
    }
    return out;
  }

  /**
   * Returns the neighbours of a daemon.
   *
   * @param self the daemon's own entry
   * @param live all live entries
   * @param perSide number of neighbours on each side of each ring, at least 1
   * @return identities of the neighbours, without the daemon itself
   */
  static Set<MemberId> neighbours(MemberEntry self, Collection<MemberEntry> live, int perSide) {
    Set<MemberId> out = new LinkedHashSet<>();
    for (int ring = 0; ring < RINGS; ring++) {
      boolean fleetRing = ring < FLEET_RINGS;
      Predicate<MemberEntry> onRing =
          e -> e != self && (fleetRing || e.member().zone().equals(self.member().zone()));
      List<MemberEntry> others = live.stream().filter(onRing).toList();
      addSide(out, self, others, ring, perSide, 1);
      addSide(out, self, others, ring, perSide, -1);
    }
    return out;
  }

  /** Adds the members nearest to a daemon in one direction, 1 or -1, of a ring. */
  private static void addSide(
      Set<MemberId> out,
      MemberEntry self,
      List<MemberEntry> others,
      int ring,
      int perSide,
      int direction) {
    List<MemberEntry> nearest = new ArrayList<>();
    for (MemberEntry e : others) {
      insertByDistance(nearest, e, perSide, o -> distance(self, o, ring, direction));
    }
    nearest.forEach(e -> out.add(e.id()));
  }

  /** Inserts an entry into a list of the nearest ones, ordered by distance and bounded. */
  private static void insertByDistance(
      List<MemberEntry> nearest, MemberEntry e, int perSide, ToLongFunction<MemberEntry> distance) {
    long d = distance.applyAsLong(e);
    int at = nearest.size();
    while (at > 0 && Long.compareUnsigned(d, distance.applyAsLong(nearest.get(at - 1))) < 0) {
      at--;
    }
    if (at < perSide) {
      nearest.add(at, e);
      if (nearest.size() > perSide) {
        nearest.remove(perSide);
      }
    }
  }

  /** Returns the distance along the ring, as an unsigned number that wraps around. */
  private static long distance(MemberEntry from, MemberEntry to, int ring, int direction) {
    return direction * (to.position(ring) - from.position(ring));
  }
}
