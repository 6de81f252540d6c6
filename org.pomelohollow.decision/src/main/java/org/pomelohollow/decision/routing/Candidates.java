package org.pomelohollow.decision.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.ZoneId;

/**
 * Members that an attempt may go to.
 *
 * @param sameZone members of the own availability zone
 * @param otherZones the others
 */
record Candidates(List<Member> sameZone, List<Member> otherZones) {
  /** Splits members by availability zone; without an own zone all are far. */
  static Candidates of(List<Member> members, Optional<ZoneId> own) {
    List<Member> near = new ArrayList<>();
    List<Member> far = new ArrayList<>();
    for (Member m : members) {
      (own.filter(m.zone()::equals).isPresent() ? near : far).add(m);
    }
    return new Candidates(List.copyOf(near), List.copyOf(far));
  }

  boolean isEmpty() {
    return sameZone.isEmpty() && otherZones.isEmpty();
  }

  Stream<Member> stream() {
    return Stream.concat(sameZone.stream(), otherZones.stream());
  }

  /** Returns the members that match; these candidates themselves if all do. */
  Candidates filter(Predicate<Member> p) {
    List<Member> n = filter(sameZone, p);
    List<Member> f = filter(otherZones, p);
    return n == sameZone && f == otherZones ? this : new Candidates(n, f);
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
