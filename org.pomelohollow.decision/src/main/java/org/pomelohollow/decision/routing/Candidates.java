package org.pomelohollow.decision.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.ZoneId;

/**
 * Members that an attempt may be sent to.
 *
 * @param sameZone members in the availability zone of this daemon
 * @param otherZones members in other zones; all members if the zone of this daemon is unknown
 */
record Candidates(List<Member> sameZone, List<Member> otherZones) {
  /**
   * Groups members by availability zone.
   *
   * @param members the members
   * @param ownZone zone of this daemon, if it is known
   */
  static Candidates of(List<Member> members, Optional<ZoneId> ownZone) {
    List<Member> same = new ArrayList<>();
    List<Member> others = new ArrayList<>();
    for (Member m : members) {
      (ownZone.filter(m.zone()::equals).isPresent() ? same : others).add(m);
    }
    return new Candidates(List.copyOf(same), List.copyOf(others));
  }

  boolean isEmpty() {
    return sameZone.isEmpty() && otherZones.isEmpty();
  }

  Stream<Member> stream() {
    return Stream.concat(sameZone.stream(), otherZones.stream());
  }

  /** Returns the candidates that match; this object itself if all of them do. */
  Candidates filter(Predicate<Member> p) {
    List<Member> same = filter(sameZone, p);
    List<Member> others = filter(otherZones, p);
    return same == sameZone && others == otherZones ? this : new Candidates(same, others);
  }

  private static List<Member> filter(List<Member> l, Predicate<Member> p) {
    for (Member m : l) {
      if (!p.test(m)) {
        return l.stream().filter(p).toList();
      }
    }
    return l;
  }
}
