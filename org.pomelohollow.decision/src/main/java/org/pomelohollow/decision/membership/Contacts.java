package org.pomelohollow.decision.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.MemberId;

/**
 * Addresses of daemons that may be live although they aren't in the roster: from the settings, from
 * the members stream, and of members found dead. One of them is tried now and then, which joins a
 * new daemon to the fleet and the parts of a healed partition to each other.
 */
final class Contacts {
  private static final long DEAD_NANOS = 6 * 3_600_000_000_000L;

  private final List<Endpoint> seeds;
  private final RandomGenerator random;
  private final Map<String, Joined> joined = new HashMap<>();

  Contacts(List<Endpoint> seeds, RandomGenerator random) {
    this.seeds = List.copyOf(seeds);
    this.random = random;
  }

  /** Takes entries of the members stream, and forgets members whose records have expired. */
  void read(Event.LogRead r) {
    r.entries().forEach(this::read);
    joined.values().removeIf(j -> j.offset < r.oldestOffset());
  }

  /** Returns an address to try, if any daemon is unaccounted for. */
  Optional<Endpoint> choose(MemberTable table, long nowNanos) {
    Set<Endpoint> known = new HashSet<>();
    table.live().forEach(e -> known.add(e.member().peer()));
    List<Endpoint> candidates = new ArrayList<>(seeds);
    for (Joined j : joined.values()) {
      MemberId id = j.record.member();
      if (table.find(id).isEmpty() && !table.isReplaced(id)) {
        candidates.add(j.record.peer());
      }
    }
    for (Tombstone t : table.dead()) {
      if (!t.member().leaving() && nowNanos - t.atNanos() < DEAD_NANOS) {
        candidates.add(t.member().peer());
      }
    }
    candidates.removeIf(known::contains);
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  private void read(StoredEntry s) {
    if (s.entry().orElse(null) instanceof MemberJoined j) {
      joined.merge(j.member().host(), new Joined(j, s.offset()), (old, now) -> later(old, now));
    } else if (s.entry().orElse(null) instanceof MemberLeft l) {
      joined.computeIfPresent(
          l.member().host(), (h, j) -> j.record.member().equals(l.member()) ? null : j);
    }
  }

  private static Joined later(Joined a, Joined b) {
    return b.record.member().replaces(a.record.member())
            || (b.record.member().equals(a.record.member()) && b.offset > a.offset)
        ? b
        : a;
  }

  private record Joined(MemberJoined record, long offset) {}
}
