package org.pomelohollow.decision.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;

/**
 * Table of the members that this daemon knows: entries of live members, and tombstones of members
 * declared dead, which keep outdated updates from bringing them back.
 *
 * <p>Precedence of updates, after SWIM (Das, Gupta, Motivala 2002): a later incarnation of a host
 * overrides an earlier one; of one incarnation, the higher version wins; a suspicion overrides the
 * version that it names; only the member itself raises its version.
 */
final class MemberTable {
  /** Time that a suspected member has to refute the suspicion. */
  private static final long SUSPICION_TIMEOUT_NANOS = 700_000_000L;

  /** Hold-down time of a first death; doubles when the member comes back at the same version. */
  private static final long INITIAL_HOLD_DOWN_NANOS = 5_000_000_000L;

  private static final long MAX_HOLD_DOWN_NANOS = 600_000_000_000L;

  /** Time for which a death is reported to peers that synchronize their rosters. */
  private static final long DEATH_REPORT_NANOS = 10_000_000_000L;

  private static final long TOMBSTONE_RETENTION_NANOS = 24 * 3_600_000_000_000L;

  private final MemberEntry own;
  private final Map<MemberId, MemberEntry> live = new HashMap<>();
  private final Map<MemberId, MemberEntry> suspected = new LinkedHashMap<>();
  private final Map<MemberId, Tombstone> tombstones = new LinkedHashMap<>();
  private final Map<String, Long> newestIncarnations = new HashMap<>();
  private final RosterDigest digest = new RosterDigest();
  private long membershipRevision;
  private long revision;

  /**
   * Creates a table that holds only this daemon, at version 1.
   *
   * @param self this daemon
   */
  MemberTable(Member self) {
    own = new MemberEntry(self, 1, INITIAL_HOLD_DOWN_NANOS);
    add(own);
  }

  /** Returns this daemon's own entry. */
  MemberEntry own() {
    return own;
  }

  /** Returns all live entries, this daemon's own included. */
  Collection<MemberEntry> live() {
    return Collections.unmodifiableCollection(live.values());
  }

  /** Returns the tombstones of the members declared dead, the earliest death first. */
  Collection<Tombstone> tombstones() {
    return Collections.unmodifiableCollection(tombstones.values());
  }

  /** Returns the entry of a member, empty if the member is not live. */
  Optional<MemberEntry> find(MemberId id) {
    return Optional.ofNullable(live.get(id));
  }

  /** Returns the tombstone of a member, empty if the member was not declared dead. */
  Optional<Tombstone> findTombstone(MemberId id) {
    return Optional.ofNullable(tombstones.get(id));
  }

  /** Returns a number that rises when an entry is added to the live ones or removed. */
  long membershipRevision() {
    return membershipRevision;
  }

  /** Returns a number that rises when a live entry is added, removed or changes its version. */
  long revision() {
    return revision;
  }

  /** Returns the digest of the live entries, kept up to date. */
  RosterDigest digest() {
    return digest;
  }

  /** Returns whether a later incarnation on the same host is known. */
  boolean isReplaced(MemberId id) {
    Long newest = newestIncarnations.get(id.host());
    return newest != null && newest > id.incarnation();
  }

  /**
   * Updates this daemon's own entry and raises its version.
   *
   * @param member description of this daemon
   * @param aboveVersion version that the new one has to exceed, as that of a suspicion to refute; 0
   *     to exceed only the own one
   * @return the entry to gossip
   */
  RosterEntry updateSelf(Member member, long aboveVersion) {
    update(own, member, Math.max(own.version(), aboveVersion) + 1);
    return own.toRosterEntry();
  }

  /**
   * Merges an entry that a peer reports as live.
   *
   * @param r the entry
   * @return whether it overrides what the table held
   */
  boolean merge(RosterEntry r) {
    MemberId id = r.member().id();
    if (id.host().equals(own.id().host()) || isReplaced(id)) {
      return false;
    }
    MemberEntry e = live.get(id);
    long knownVersion =
        e != null ? e.version() : findTombstone(id).map(Tombstone::version).orElse(0L);
    if (r.version() <= knownVersion) {
      return false;
    }
    if (e != null) {
      update(e, r.member(), r.version());
    } else {
      removeEarlierIncarnation(id);
      tombstones.remove(id);
      add(new MemberEntry(r.member(), r.version(), INITIAL_HOLD_DOWN_NANOS));
    }
    return true;
  }

  /**
   * Marks another member as suspected.
   *
   * @param s the suspicion
   * @param nowNanos current monotonic time, in nanoseconds
   * @return false if the suspicion is outdated, or the member is not live, suspected already or
   *     this daemon
   */
  boolean suspect(Suspicion s, long nowNanos) {
    MemberEntry e = live.get(s.member());
    if (e == null || e == own || e.isSuspected() || s.version() < e.version()) {
      return false;
    }
    e.suspect(nowNanos + SUSPICION_TIMEOUT_NANOS);
    suspected.put(e.id(), e);
    return true;
  }

  /**
   * Restarts the time that suspected members have to refute.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void restartSuspicions(long nowNanos) {
    suspected.values().forEach(e -> e.suspect(nowNanos + SUSPICION_TIMEOUT_NANOS));
  }

  /**
   * Declares dead the suspected members that did not refute in time, and removes old tombstones.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void expire(long nowNanos) {
    List<MemberEntry> expired =
        suspected.values().stream().filter(e -> e.isSuspicionExpired(nowNanos)).toList();
    for (MemberEntry e : expired) {
      remove(e.id());
      tombstones.put(e.id(), new Tombstone(e.member(), e.version(), nowNanos, e.holdDownNanos()));
    }
    removeOldTombstones(nowNanos);
  }

  /**
   * Makes a member live again and doubles the hold-down time of its next death. Does nothing if the
   * member has no tombstone; if a later incarnation is known, only removes the tombstone.
   *
   * @param r the member's entry, known to be recent
   */
  void revive(RosterEntry r) {
    Tombstone t = tombstones.remove(r.member().id());
    if (t != null && !isReplaced(t.id())) {
      long holdDown = Math.min(2 * t.holdDownNanos(), MAX_HOLD_DOWN_NANOS);
      add(new MemberEntry(r.member(), Math.max(t.version(), r.version()), holdDown));
    }
  }

  /**
   * Makes a member live again that a peer reports as live, unless the hold-down time of its death
   * is still running, or the member left, or the versions differ.
   *
   * @param r entry that the peer reports
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the conditions held
   */
  boolean reviveFromReport(RosterEntry r, long nowNanos) {
    Optional<Tombstone> t =
        findTombstone(r.member().id())
            .filter(d -> d.version() == r.version() && !d.member().leaving())
            .filter(d -> nowNanos - d.declaredDeadAtNanos() >= d.holdDownNanos());
    if (t.isPresent()) {
      revive(r);
    }
    return t.isPresent();
  }

  /**
   * Removes a member without a tombstone, so that any report brings it back.
   *
   * @param id identity of the member; this daemon itself is not removed
   */
  void removeWithoutTombstone(MemberId id) {
    if (!id.equals(own.id())) {
      remove(id);
    }
  }

  /**
   * Returns the deaths that a peer may have missed: recent ones, and members that left.
   *
   * @param buckets bit set of the digest buckets to which the report is restricted
   * @param nowNanos current monotonic time, in nanoseconds
   * @return a suspicion for each death
   */
  List<Suspicion> deathsToReport(long buckets, long nowNanos) {
    return tombstones.values().stream()
        .filter(
            t -> t.member().leaving() || nowNanos - t.declaredDeadAtNanos() < DEATH_REPORT_NANOS)
        .filter(t -> RosterDigest.isInBuckets(buckets, t.id()))
        .map(t -> new Suspicion(t.id(), t.version()))
        .toList();
  }

  /**
   * Returns the live entries of some digest buckets.
   *
   * @param buckets bit set of the buckets
   * @return the entries
   */
  List<RosterEntry> entriesIn(long buckets) {
    return live.values().stream()
        .filter(e -> RosterDigest.isInBuckets(buckets, e.id()))
        .map(MemberEntry::toRosterEntry)
        .toList();
  }

  private void removeEarlierIncarnation(MemberId id) {
    Long earlier = newestIncarnations.get(id.host());
    if (earlier != null) {
      MemberId earlierId = new MemberId(id.host(), earlier);
      remove(earlierId);
      tombstones.remove(earlierId);
    }
  }

  private void removeOldTombstones(long nowNanos) {
    Iterator<Tombstone> i = tombstones.values().iterator();
    while (i.hasNext()) {
      Tombstone t = i.next();
      if (nowNanos - t.declaredDeadAtNanos() < TOMBSTONE_RETENTION_NANOS) {
        return;
      }
      i.remove();
      newestIncarnations.remove(t.id().host(), t.id().incarnation());
    }
  }

  private void add(MemberEntry e) {
    live.put(e.id(), e);
    newestIncarnations.merge(e.id().host(), e.id().incarnation(), Math::max);
    digest.toggle(e.id(), e.version());
    membershipRevision++;
    revision++;
  }

  private void remove(MemberId id) {
    MemberEntry e = live.remove(id);
    if (e != null) {
      suspected.remove(id);
      digest.toggle(id, e.version());
      membershipRevision++;
      revision++;
    }
  }

  private void update(MemberEntry e, Member member, long version) {
    digest.toggle(e.id(), e.version());
    e.update(member, version);
    suspected.remove(e.id());
    digest.toggle(e.id(), version);
    revision++;
  }
}
