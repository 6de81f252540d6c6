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
 * Addresses of daemons that may be live although they are not in the roster: the seeds from the
 * settings, members recorded in the members stream, and members declared dead. Sending a heartbeat
 * to one of them from time to time joins a new daemon to the fleet, and merges the sides of a
 * partition after it has healed.
 */
final class PeerDiscovery {
  /** Time for which the address of a member declared dead remains a candidate. */
  private static final long DEAD_CANDIDATE_NANOS = 6 * 3_600_000_000_000L;

  private final List<Endpoint> seeds;
  private final RandomGenerator random;
  private final Map<String, JoinRecord> joinedByHost = new HashMap<>();

  PeerDiscovery(List<Endpoint> seeds, RandomGenerator random) {
    this.seeds = List.copyOf(seeds);
    this.random = random;
  }

  /**
   * Applies entries of the members stream, and forgets members whose records have expired.
   *
   * @param r a read of the members stream
   */
  void onLogRead(Event.LogRead r) {
    r.entries().forEach(this::applyEntry);
    joinedByHost.values().removeIf(j -> j.offset < r.oldestOffset());
  }

  /**
   * Chooses at random an address that belongs to no live member.
   *
   * @param table the members known at present
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the address, empty if there is no candidate
   */
  Optional<Endpoint> chooseAddress(MemberTable table, long nowNanos) {
    Set<Endpoint> liveAddresses = new HashSet<>();
    table.live().forEach(e -> liveAddresses.add(e.member().peer()));
    List<Endpoint> candidates = new ArrayList<>(seeds);
    for (JoinRecord j : joinedByHost.values()) {
      MemberId id = j.entry.member();
      if (table.find(id).isEmpty() && !table.isReplaced(id)) {
        candidates.add(j.entry.peer());
      }
    }
    for (Tombstone t : table.tombstones()) {
      if (!t.member().leaving() && nowNanos - t.declaredDeadAtNanos() < DEAD_CANDIDATE_NANOS) {
        candidates.add(t.member().peer());
      }
    }
    candidates.removeIf(liveAddresses::contains);
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  private void applyEntry(StoredEntry stored) {
    if (stored.entry().orElse(null) instanceof MemberJoined j) {
      joinedByHost.merge(
          j.member().host(), new JoinRecord(j, stored.offset()), (old, now) -> newer(old, now));
    } else if (stored.entry().orElse(null) instanceof MemberLeft l) {
      joinedByHost.computeIfPresent(
          l.member().host(), (h, j) -> j.entry.member().equals(l.member()) ? null : j);
    }
  }

  private static JoinRecord newer(JoinRecord a, JoinRecord b) {
    return b.entry.member().replaces(a.entry.member())
            || (b.entry.member().equals(a.entry.member()) && b.offset > a.offset)
        ? b
        : a;
  }

  private record JoinRecord(MemberJoined entry, long offset) {}
}
