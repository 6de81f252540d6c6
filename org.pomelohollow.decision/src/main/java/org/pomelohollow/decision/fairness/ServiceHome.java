package org.pomelohollow.decision.fairness;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.StableHash;

/**
 * Chooses the home of each service: the live member that rendezvous hashing selects (Thaler and
 * Ravishankar, 1998).
 */
final class ServiceHome {
  private final Map<ServiceId, Optional<MemberId>> homes = new HashMap<>();
  private Optional<Roster> roster = Optional.empty();

  void setRoster(Roster r) {
    roster = Optional.of(r);
    homes.clear();
  }

  /** Returns the number of live members, 0 before a roster is known. */
  int memberCount() {
    return roster.map(r -> r.members().size()).orElse(0);
  }

  /** Returns the home of a service, empty before a roster is known. */
  Optional<MemberId> of(ServiceId s) {
    return homes.computeIfAbsent(s, this::choose);
  }

  private Optional<MemberId> choose(ServiceId s) {
    return roster.flatMap(
        r ->
            r.members().stream()
                .filter(m -> !m.leaving())
                .map(Member::id)
                .min(Comparator.comparingLong(id -> hash(s, id))));
  }

  private static long hash(ServiceId s, MemberId id) {
    return StableHash.of(s.value() + "/" + id.host());
  }
}
