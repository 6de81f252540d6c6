package org.pomelohollow.decision.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.MemberId;

/** Fingerprints under suspicion, up to a bound. */
final class SuspectTable {
  private final int capacity;
  private final Map<Long, Entry> entries = new HashMap<>();

  SuspectTable(int capacity) {
    this.capacity = capacity;
  }

  int size() {
    return entries.size();
  }

  boolean contains(long fingerprint, long nowNanos) {
    return live(fingerprint, nowNanos).isPresent();
  }

  int deaths(long fingerprint, long nowNanos) {
    return live(fingerprint, nowNanos).map(e -> e.deaths.size()).orElse(0);
  }

  boolean died(long fingerprint, MemberId member) {
    Entry e = entries.get(fingerprint);
    return e != null && e.deaths.stream().anyMatch(d -> d.member().equals(member));
  }

  long remainingNanos(long fingerprint, long nowNanos) {
    return live(fingerprint, nowNanos).map(e -> e.expiresNanos - nowNanos).orElse(0L);
  }

  /**
   * Adds deaths, and keeps the longer of both times.
   *
   * @return whether anything changed that peers should hear of
   */
  boolean add(long fingerprint, Set<TargetCrash> deaths, long expiresNanos, long nowNanos) {
    Entry e = live(fingerprint, nowNanos).orElse(null);
    if (e == null) {
      makeRoom();
      e = new Entry();
      entries.put(fingerprint, e);
    }
    boolean changed = e.deaths.addAll(deaths) || e.expiresNanos < expiresNanos;
    e.expiresNanos = Math.max(e.expiresNanos, expiresNanos);
    return changed;
  }

  boolean remove(long fingerprint) {
    return entries.remove(fingerprint) != null;
  }

  Optional<Suspect> describe(long fingerprint, long nowNanos) {
    return live(fingerprint, nowNanos)
        .map(
            e ->
                new Suspect(
                    fingerprint,
                    e.deaths,
                    TimeUnit.NANOSECONDS.toMillis(e.expiresNanos - nowNanos)));
  }

  void expire(long nowNanos) {
    entries.values().removeIf(e -> e.expiresNanos <= nowNanos);
  }

  private Optional<Entry> live(long fingerprint, long nowNanos) {
    return Optional.ofNullable(entries.get(fingerprint)).filter(e -> e.expiresNanos > nowNanos);
  }

  /** Drops the entry with the fewest deaths, and of these the one that expires first. */
  private void makeRoom() {
    if (entries.size() < capacity) {
      return;
    }
    entries.entrySet().stream()
        .min(
            Comparator.<Map.Entry<Long, Entry>>comparingInt(e -> e.getValue().deaths.size())
                .thenComparingLong(e -> e.getValue().expiresNanos))
        .ifPresent(e -> entries.remove(e.getKey()));
  }

  private static final class Entry {
    private final Set<TargetCrash> deaths = new HashSet<>();
    private long expiresNanos = Long.MIN_VALUE;
  }
}
