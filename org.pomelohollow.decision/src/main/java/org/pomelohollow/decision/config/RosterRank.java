package org.pomelohollow.decision.config;

import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;

/**
 * Order of the live members by a hash of their identities, by which one of them is chosen for a
 * task that one daemon can do for all.
 */
final class RosterRank {
  private RosterRank() {}

  /**
   * Returns the rank of this daemon.
   *
   * @param roster live members
   * @return number of members before this daemon, 0 for the first
   */
  static long of(Roster roster) {
    long ownHash = hash(roster.self());
    return roster.members().stream().filter(m -> hash(m.id()) < ownHash).count();
  }

  /**
   * Returns a delay that differs between daemons, so that they do not act at the same moment.
   *
   * @param id identity of the daemon
   * @param bound bound of the delay, above 0
   * @return the delay, from 0 to below the bound
   */
  static long jitter(MemberId id, long bound) {
    return Math.floorMod(hash(id), bound);
  }

  private static long hash(MemberId id) {
    long h = id.host().hashCode() * 0x9E3779B97F4A7C15L + id.incarnation();
    h = (h ^ (h >>> 32)) * 0xD6E8FEB86659FD93L;
    return h ^ (h >>> 29);
  }
}
