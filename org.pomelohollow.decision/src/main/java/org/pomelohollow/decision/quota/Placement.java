package org.pomelohollow.decision.quota;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ZoneId;

/** Chooses holders and witnesses by rendezvous hashing over the live members. */
final class Placement {
  private final Collection<Member> members;
  private final List<ZoneId> zones;

  Placement(Roster roster) {
    members = roster.members().stream().filter(m -> !m.leaving()).toList();
    zones = members.stream().map(Member::zone).distinct().sorted().toList();
  }

  /** Returns the zone where a piece should be; the pieces of an account get different zones. */
  Optional<ZoneId> zone(Piece p) {
    if (zones.isEmpty()) {
      return Optional.empty();
    }
    List<ZoneId> ranked =
        zones.stream()
            .sorted(Comparator.comparingLong(z -> score(p.account().value(), z.value())))
            .toList();
    return Optional.of(ranked.get(p.index() % ranked.size()));
  }

  /** Returns the member that should hold a piece. */
  Optional<MemberId> holder(Piece p) {
    return zone(p).flatMap(z -> best(p.toString(), m -> m.zone().equals(z)));
  }

  /** Returns a witness for a holder: one of its own zone if possible. */
  Optional<MemberId> witness(MemberId holder, Predicate<MemberId> excluded) {
    Optional<ZoneId> zone =
        members.stream().filter(m -> m.id().equals(holder)).map(Member::zone).findFirst();
    Predicate<Member> other = m -> !m.id().equals(holder) && !excluded.test(m.id());
    Optional<MemberId> near =
        best(holder.toString(), other.and(m -> zone.filter(m.zone()::equals).isPresent()));
    return near.or(() -> best(holder.toString(), other));
  }

  List<ZoneId> zones() {
    return zones;
  }

  boolean contains(MemberId id) {
    return members.stream().anyMatch(m -> m.id().equals(id));
  }

  Optional<ZoneId> zoneOf(MemberId id) {
    return members.stream().filter(m -> m.id().equals(id)).map(Member::zone).findFirst();
  }

  private Optional<MemberId> best(String key, Predicate<Member> allowed) {
    return members.stream()
        .filter(allowed)
        .map(Member::id)
        .min(Comparator.comparingLong(id -> score(key, id.toString())));
  }

  private static long score(String a, String b) {
    long z = a.hashCode() * 0x9E3779B97F4A7C15L + b.hashCode();
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
