package org.pomelohollow.decision.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.MemberId;

/** Bounded table of the suspects that a daemon knows, with their crashes and expiry times. */
final class SuspectTable {
  private final int capacity;
  private final Map<Long, Entry> entries = new HashMap<>();

  /** Creates an empty table for up to the given number of suspects. */
  SuspectTable(int capacity) {
    this.capacity = capacity;
  }

  int size() {
    return entries.size();
  }

  /** Returns whether a fingerprint is suspected and its suspicion hasn't expired. */
  boolean contains(long fingerprint, long nowNanos) {
    return activeEntry(fingerprint, nowNanos).isPresent();
  }

  /** Returns the number of crashes blamed on a fingerprint; 0 if it isn't suspected. */
  int crashCount(long fingerprint, long nowNanos) {
    return activeEntry(fingerprint, nowNanos).map(e -> e.crashes.size()).orElse(0);
  }

  /** Returns whether a crash of a member's target is blamed on a fingerprint in the table. */
  boolean hasCrashed(long fingerprint, MemberId member) {
    Entry e = entries.get(fingerprint);
    return e != null && e.crashes.stream().anyMatch(d -> d.member().equals(member));
  }

  /** Returns the time until the suspicion expires, in nanoseconds; 0 if it isn't suspected. */
  long remainingNanos(long fingerprint, long nowNanos) {
    return activeEntry(fingerprint, nowNanos).map(e -> e.expiryNanos - nowNanos).orElse(0L);
  }

  /**
   * Adds a suspect, or adds crashes to it; the later of the old and the new expiry time counts. If
   * the table is full, another suspect is evicted.
   *
   * @return whether peers should be informed, since there are new crashes or the expiry is later
   */
  boolean add(long fingerprint, Set<TargetCrash> crashes, long expiryNanos, long nowNanos) {
    Entry e = activeEntry(fingerprint, nowNanos).orElse(null);
    if (e == null) {
      evictIfFull();
      e = new Entry();
      entries.put(fingerprint, e);
    }
    boolean changed = e.crashes.addAll(crashes) || e.expiryNanos < expiryNanos;
    e.expiryNanos = Math.max(e.expiryNanos, expiryNanos);
    return changed;
  }

  /** Removes a suspect and returns whether it was in the table. */
  boolean remove(long fingerprint) {
    return entries.remove(fingerprint) != null;
  }

  /** Returns the state of a suspect to send to peers; empty if it isn't suspected. */
  Optional<Suspect> suspect(long fingerprint, long nowNanos) {
    return activeEntry(fingerprint, nowNanos)
        .map(
            e ->
                new Suspect(
                    fingerprint,
                    e.crashes,
                    TimeUnit.NANOSECONDS.toMillis(e.expiryNanos - nowNanos)));
  }

  /** Removes all suspects whose suspicion has expired. */
  void removeExpired(long nowNanos) {
    entries.values().removeIf(e -> e.expiryNanos <= nowNanos);
  }

  private Optional<Entry> activeEntry(long fingerprint, long nowNanos) {
    return Optional.ofNullable(entries.get(fingerprint)).filter(e -> e.expiryNanos > nowNanos);
  }

  /**
   * If the table is full, evicts the suspect with the fewest crashes, and of several the one that
   * expires first.
   */
  private void evictIfFull() {
    if (entries.size() < capacity) {
      return;
    }
    entries.entrySet().stream()
        .min(
            Comparator.<Map.Entry<Long, Entry>>comparingInt(e -> e.getValue().crashes.size())
                .thenComparingLong(e -> e.getValue().expiryNanos))
        .ifPresent(e -> entries.remove(e.getKey()));
  }

  private static final class Entry {
    private final Set<TargetCrash> crashes = new HashSet<>();
    private long expiryNanos = Long.MIN_VALUE;
  }
}
