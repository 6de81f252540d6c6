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

/**
 * Chooses the preferred holders and witnesses of pieces by rendezvous hashing over the members of a
 * roster, without those that are leaving. Members with the same roster choose alike.
 */
final class Placement {
  private final Collection<Member> members;
  private final List<ZoneId> zones;

  Placement(Roster roster) {
    members = roster.members().stream().filter(m -> !m.leaving()).toList();
    zones = members.stream().map(Member::zone).distinct().sorted().toList();
  }

  /**
   * Returns the availability zone that should hold a piece, empty if there are no members. The
   * pieces of an account are spread over different zones as far as there are enough.
   */
  Optional<ZoneId> preferredZone(QuotaPiece p) {
    if (zones.isEmpty()) {
      return Optional.empty();
    }
    List<ZoneId> ranked =
        zones.stream()
            .sorted(Comparator.comparingLong(z -> hash(p.account().value(), z.value())))
            .toList();
    return Optional.of(ranked.get(p.index() % ranked.size()));
  }

  /** Returns the member that should hold a piece: one of its preferred zone. */
  Optional<MemberId> preferredHolder(QuotaPiece p) {
    return preferredZone(p).flatMap(z -> lowestHash(p.toString(), m -> m.zone().equals(z)));
  }

  /**
   * Chooses a witness for a holder, of the holder's own zone if possible.
   *
   * @param excluded members that can't be chosen; the holder never is
   */
  Optional<MemberId> chooseWitness(MemberId holder, Predicate<MemberId> excluded) {
    Optional<ZoneId> zone =
        members.stream().filter(m -> m.id().equals(holder)).map(Member::zone).findFirst();
    Predicate<Member> other = m -> !m.id().equals(holder) && !excluded.test(m.id());
    Optional<MemberId> sameZone =
        lowestHash(holder.toString(), other.and(m -> zone.filter(m.zone()::equals).isPresent()));
    return sameZone.or(() -> lowestHash(holder.toString(), other));
  }

  /** Returns the zones of the members, sorted. */
  List<ZoneId> zones() {
    return zones;
  }

  /** Returns whether a member is in the roster and isn't leaving. */
  boolean contains(MemberId id) {
    return members.stream().anyMatch(m -> m.id().equals(id));
  }

  /** Returns the zone of a member; empty if it isn't in the roster or is leaving. */
  Optional<ZoneId> zoneOf(MemberId id) {
    return members.stream().filter(m -> m.id().equals(id)).map(Member::zone).findFirst();
  }

  private Optional<MemberId> lowestHash(String key, Predicate<Member> allowed) {
    return members.stream()
        .filter(allowed)
        .map(Member::id)
        .min(Comparator.comparingLong(id -> hash(key, id.toString())));
  }

  /** Hashes a key and a candidate with the finalizer of SplitMix64; the lowest value wins. */
  private static long hash(String key, String candidate) {
    long z = key.hashCode() * 0x9E3779B97F4A7C15L + candidate.hashCode();
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
