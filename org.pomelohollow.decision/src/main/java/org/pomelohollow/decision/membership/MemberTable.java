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
 * What is known of members: live entries, and the ones found dead, which bar older news.
 *
 * <p>Rules of precedence, after SWIM (Das, Gupta, Motivala 2002): a later run of a host beats an
 * earlier one; of one run, the higher version wins; a suspicion beats the version that it names;
 * only the member itself raises its version.
 */
final class MemberTable {
  private static final long CONFIRM_NANOS = 700_000_000L;
  private static final long FIRST_HOLD_NANOS = 5_000_000_000L;
  private static final long LONGEST_HOLD_NANOS = 600_000_000_000L;
  private static final long REPORTED_NANOS = 10_000_000_000L;
  private static final long TOMBSTONE_NANOS = 24 * 3_600_000_000_000L;

  private final MemberEntry own;
  private final Map<MemberId, MemberEntry> live = new HashMap<>();
  private final Map<MemberId, MemberEntry> suspected = new LinkedHashMap<>();
  private final Map<MemberId, Tombstone> dead = new LinkedHashMap<>();
  private final Map<String, Long> newestIncarnations = new HashMap<>();
  private final RosterDigest digest = new RosterDigest();
  private long generation;
  private long changes;

  MemberTable(Member self) {
    own = new MemberEntry(self, 1, FIRST_HOLD_NANOS);
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

  /** Returns the members found dead, the earliest first. */
  Collection<Tombstone> dead() {
    return Collections.unmodifiableCollection(dead.values());
  }

  Optional<MemberEntry> find(MemberId id) {
    return Optional.ofNullable(live.get(id));
  }

  Optional<Tombstone> findDead(MemberId id) {
    return Optional.ofNullable(dead.get(id));
  }

  /** Returns a number that rises when members come or go. */
  long generation() {
    return generation;
  }

  /** Returns a number that rises when members come, go or raise their version. */
  long changes() {
    return changes;
  }

  RosterDigest digest() {
    return digest;
  }

  /** Tells whether a later run of the same host is known. */
  boolean isReplaced(MemberId id) {
    Long newest = newestIncarnations.get(id.host());
    return newest != null && newest > id.incarnation();
  }

  /**
   * Gives this daemon's own entry a version above a given one.
   *
   * @return the entry to pass on
   */
  RosterEntry describeSelf(Member member, long aboveVersion) {
    update(own, member, Math.max(own.version(), aboveVersion) + 1);
    return own.toRosterEntry();
  }

  /**
   * Takes news of a live member.
   *
   * @return whether it was news
   */
  boolean accept(RosterEntry r) {
    MemberId id = r.member().id();
    if (id.host().equals(own.id().host()) || isReplaced(id)) {
      return false;
    }
    MemberEntry e = live.get(id);
    long known = e != null ? e.version() : findDead(id).map(Tombstone::version).orElse(0L);
    if (r.version() <= known) {
      return false;
    }
    if (e != null) {
      update(e, r.member(), r.version());
    } else {
      removeEarlierRun(id);
      dead.remove(id);
      add(new MemberEntry(r.member(), r.version(), FIRST_HOLD_NANOS));
    }
    return true;
  }

  /**
   * Takes a suspicion of another member.
   *
   * @return whether it was news
   */
  boolean suspect(Suspicion s, long nowNanos) {
    MemberEntry e = live.get(s.member());
    if (e == null || e == own || e.isSuspected() || s.version() < e.version()) {
      return false;
    }
    e.suspect(nowNanos + CONFIRM_NANOS);
    suspected.put(e.id(), e);
    return true;
  }

  /** Gives every suspected member the full time again to refute. */
  void restartSuspicions(long nowNanos) {
    suspected.values().forEach(e -> e.suspect(nowNanos + CONFIRM_NANOS));
  }

  /** Declares dead whoever did not refute in time, and forgets old deaths. */
  void expire(long nowNanos) {
    List<MemberEntry> due = suspected.values().stream().filter(e -> e.isDue(nowNanos)).toList();
    for (MemberEntry e : due) {
      remove(e.id());
      dead.put(e.id(), new Tombstone(e.member(), e.version(), nowNanos, e.holdNanos()));
    }
    forgetDeaths(nowNanos);
  }

  /** Brings a member back that has answered at first hand. */
  void revive(RosterEntry r) {
    Tombstone t = dead.remove(r.member().id());
    if (t != null && !isReplaced(t.id())) {
      long hold = Math.min(2 * t.holdNanos(), LONGEST_HOLD_NANOS);
      add(new MemberEntry(r.member(), Math.max(t.version(), r.version()), hold));
    }
  }

  /**
   * Brings a member back that a peer holds for live, unless it was found dead only just now.
   *
   * @return whether it is live again
   */
  boolean reviveByReport(RosterEntry r, long nowNanos) {
    Optional<Tombstone> t =
        findDead(r.member().id())
            .filter(d -> d.version() == r.version() && !d.member().leaving())
            .filter(d -> nowNanos - d.atNanos() >= d.holdNanos());
    if (t.isPresent()) {
      revive(r);
    }
    return t.isPresent();
  }

  /** Removes a member without holding it for dead. */
  void drop(MemberId id) {
    if (!id.equals(own.id())) {
      remove(id);
    }
  }

  /** Returns the deaths that a peer may have missed: recent ones, and members that left. */
  List<Suspicion> deathsToReport(long buckets, long nowNanos) {
    return dead.values().stream()
        .filter(t -> t.member().leaving() || nowNanos - t.atNanos() < REPORTED_NANOS)
        .filter(t -> RosterDigest.isIn(buckets, t.id()))
        .map(t -> new Suspicion(t.id(), t.version()))
        .toList();
  }

  /** Returns the live entries of some buckets. */
  List<RosterEntry> entries(long buckets) {
    return live.values().stream()
        .filter(e -> RosterDigest.isIn(buckets, e.id()))
        .map(MemberEntry::toRosterEntry)
        .toList();
  }

  private void removeEarlierRun(MemberId id) {
    Long earlier = newestIncarnations.get(id.host());
    if (earlier != null) {
      MemberId old = new MemberId(id.host(), earlier);
      remove(old);
      dead.remove(old);
    }
  }

  private void forgetDeaths(long nowNanos) {
    Iterator<Tombstone> i = dead.values().iterator();
    while (i.hasNext()) {
      Tombstone t = i.next();
      if (nowNanos - t.atNanos() < TOMBSTONE_NANOS) {
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
    generation++;
    changes++;
  }

  private void remove(MemberId id) {
    MemberEntry e = live.remove(id);
    if (e != null) {
      suspected.remove(id);
      digest.toggle(id, e.version());
      generation++;
      changes++;
    }
  }

  private void update(MemberEntry e, Member member, long version) {
    digest.toggle(e.id(), e.version());
    e.update(member, version);
    suspected.remove(e.id());
    digest.toggle(e.id(), version);
    changes++;
  }
}
