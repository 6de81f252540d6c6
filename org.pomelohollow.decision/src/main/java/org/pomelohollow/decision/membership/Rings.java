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
 * Chooses the neighbours of a daemon: the next members on both sides of several rings, each of
 * which orders hosts by another hash. All daemons with one view agree on who is whose neighbour.
 *
 * <p>The union of a few such rings is an expander, which monitors every member from several others
 * and spreads news in few hops: as in Rapid (Suresh et al. 2018). Half of the rings hold only the
 * daemon's own availability zone, so that a zone that is cut off keeps a connected graph.
 */
final class Rings {
  private static final int FLEET_RINGS = 2;
  private static final int ZONE_RINGS = 2;
  private static final int RINGS = FLEET_RINGS + ZONE_RINGS;

  private Rings() {}

  /** Returns the places of a host on all rings. */
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
   * @param width neighbours on each side of each ring
   * @return the neighbours, without the daemon itself
   */
  static Set<MemberId> neighbours(MemberEntry self, Collection<MemberEntry> live, int width) {
    Set<MemberId> out = new LinkedHashSet<>();
    for (int ring = 0; ring < RINGS; ring++) {
      boolean whole = ring < FLEET_RINGS;
      Predicate<MemberEntry> onRing =
          e -> e != self && (whole || e.member().zone().equals(self.member().zone()));
      List<MemberEntry> others = live.stream().filter(onRing).toList();
      addSide(out, self, others, ring, width, 1);
      addSide(out, self, others, ring, width, -1);
    }
    return out;
  }

  private static void addSide(
      Set<MemberId> out,
      MemberEntry self,
      List<MemberEntry> others,
      int ring,
      int width,
      int direction) {
    List<MemberEntry> nearest = new ArrayList<>();
    for (MemberEntry e : others) {
      insert(nearest, e, width, o -> distance(self, o, ring, direction));
    }
    nearest.forEach(e -> out.add(e.id()));
  }

  private static void insert(
      List<MemberEntry> nearest, MemberEntry e, int width, ToLongFunction<MemberEntry> distance) {
    long d = distance.applyAsLong(e);
    int at = nearest.size();
    while (at > 0 && Long.compareUnsigned(d, distance.applyAsLong(nearest.get(at - 1))) < 0) {
      at--;
    }
    if (at < width) {
      nearest.add(at, e);
      if (nearest.size() > width) {
        nearest.remove(width);
      }
    }
  }

  private static long distance(MemberEntry from, MemberEntry to, int ring, int direction) {
    return direction * (to.position(ring) - from.position(ring));
  }
}
