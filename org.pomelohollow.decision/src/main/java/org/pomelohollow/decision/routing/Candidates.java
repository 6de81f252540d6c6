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
 * @param near members of the own availability zone
 * @param far the others
 */
record Candidates(List<Member> near, List<Member> far) {
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
    return near.isEmpty() && far.isEmpty();
  }

  Stream<Member> stream() {
    return Stream.concat(near.stream(), far.stream());
  }

  /** Returns the members that match; these candidates themselves if all do. */
  Candidates filter(Predicate<Member> p) {
    List<Member> n = filter(near, p);
    List<Member> f = filter(far, p);
    return n == near && f == far ? this : new Candidates(n, f);
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
