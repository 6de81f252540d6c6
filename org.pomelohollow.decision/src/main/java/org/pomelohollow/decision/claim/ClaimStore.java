package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.pomelohollow.decision.guard.RecordedResponse;

/**
 * Claims that this daemon records as a witness, each for the claim window. A claim is never evicted
 * before the window has passed; a response is not stored if there is no room for it.
 */
final class ClaimStore {
  private static final int MAX_CLAIMS_PER_PAGE = 64;

  private final ClaimSettings settings;
  private final Map<Integer, TreeMap<ClaimKey, Entry>> shards = new HashMap<>();
  private int claimCount;
  private long responseBytes;

  ClaimStore(ClaimSettings settings) {
    this.settings = settings;
  }

  /** Returns the number of recorded claims. */
  int claimCount() {
    return claimCount;
  }

  /** Returns the total size of the stored responses, in bytes. */
  long responseBytes() {
    return responseBytes;
  }

  /** Returns whether no further claim can be recorded. */
  boolean isFull() {
    return claimCount >= settings.maxClaims();
  }

  /** Returns the claim on a key, with its present age. */
  Optional<ClaimRecord> find(ClaimKey key, long nowNanos) {
    return entry(key).map(e -> e.record(nowNanos));
  }

  /** Records a claim, replacing any other on its key. */
  void put(ClaimRecord r, long nowNanos) {
    remove(r.key());
    Entry e = new Entry(r, nowNanos - r.ageNanos());
    shards.computeIfAbsent(r.key().shard(), s -> new TreeMap<>()).put(r.key(), e);
    claimCount++;
    storeResponse(e, r.response());
  }

  /**
   * Advances the state of a claim to a later one. Does nothing if another claim holds the key, or
   * if the claim is to be released but is not {@link ClaimState#RUNNING}.
   */
  void advanceState(
      ClaimKey key, ClaimId id, ClaimState state, Optional<RecordedResponse> response) {
    Entry e = entry(key).orElse(null);
    if (e == null || !e.initial.id().equals(id) || e.state.compareTo(state) >= 0) {
      return;
    }
    if (state == ClaimState.RELEASED && e.state != ClaimState.RUNNING) {
      return;
    }
    e.state = state;
    storeResponse(e, response);
  }

  /**
   * Merges a claim that another witness recorded. Of two different claims on one key, one that is
   * known to have run takes precedence. If both may have been granted and neither is known to have
   * run, the state becomes {@link ClaimState#UNKNOWN}.
   */
  void merge(ClaimRecord r, long nowNanos) {
    Entry e = entry(r.key()).orElse(null);
    if (e == null || e.state == ClaimState.RELEASED) {
      put(r, nowNanos);
    } else if (r.state() == ClaimState.RELEASED || e.initial.id().equals(r.id())) {
      advanceState(r.key(), r.id(), r.state(), r.response());
    } else if (e.state != ClaimState.RAN && r.state() == ClaimState.RAN) {
      put(r, nowNanos);
    } else if (e.state != ClaimState.RAN) {
      e.state = ClaimState.UNKNOWN;
    }
  }

  /**
   * Returns the claims of a shard that follow a key, in the order of their keys. A page ends after
   * {@link #MAX_CLAIMS_PER_PAGE} claims, or once its responses exceed {@link
   * ClaimSettings#maxBytesPerResponse}.
   */
  List<ClaimRecord> page(int shard, Optional<ClaimKey> after, long nowNanos) {
    TreeMap<ClaimKey, Entry> all = shards.getOrDefault(shard, new TreeMap<>());
    NavigableMap<ClaimKey, Entry> rest = after.map(k -> all.tailMap(k, false)).orElse(all);
    List<ClaimRecord> page = new ArrayList<>();
    long bytes = 0;
    for (Entry e : rest.values()) {
      if (page.size() == MAX_CLAIMS_PER_PAGE || bytes > settings.maxBytesPerResponse()) {
        break;
      }
      page.add(e.record(nowNanos));
      bytes += e.storedBytes();
    }
    return page;
  }

  /** Removes the claims that are older than the claim window. */
  void expire(long nowNanos) {
    List<ClaimKey> expired = new ArrayList<>();
    for (TreeMap<ClaimKey, Entry> m : shards.values()) {
      for (Entry e : m.values()) {
        if (nowNanos - e.recordedNanos > settings.windowNanos()) {
          expired.add(e.initial.key());
        }
      }
    }
    expired.forEach(this::remove);
  }

  private Optional<Entry> entry(ClaimKey key) {
    return Optional.ofNullable(shards.get(key.shard())).map(m -> m.get(key));
  }

  private void remove(ClaimKey key) {
    TreeMap<ClaimKey, Entry> m = shards.get(key.shard());
    Entry e = m == null ? null : m.remove(key);
    if (e != null) {
      claimCount--;
      responseBytes -= e.storedBytes();
    }
  }

  /** Stores a response, in place of an earlier one, if there is room for it. */
  private void storeResponse(Entry e, Optional<RecordedResponse> response) {
    long bytes = response.map(Entry::sizeBytes).orElse(0L);
    if (response.isPresent()
        && responseBytes - e.storedBytes() + bytes <= settings.maxTotalResponseBytes()) {
      responseBytes += bytes - e.storedBytes();
      e.response = response;
    }
  }

  private static final class Entry {
    private static final int OVERHEAD_BYTES_PER_HEADER = 32;

    private final ClaimRecord initial;
    private final long recordedNanos;
    private ClaimState state;
    private Optional<RecordedResponse> response = Optional.empty();

    Entry(ClaimRecord initial, long recordedNanos) {
      this.initial = initial;
      this.recordedNanos = recordedNanos;
      this.state = initial.state();
    }

    ClaimRecord record(long nowNanos) {
      return new ClaimRecord(
          initial.key(),
          initial.fingerprint(),
          initial.requestId(),
          initial.id(),
          Math.max(0, nowNanos - recordedNanos),
          state,
          response);
    }

    long storedBytes() {
      return response.map(Entry::sizeBytes).orElse(0L);
    }

    static long sizeBytes(RecordedResponse recorded) {
      long headers =
          recorded.headers().stream()
              .mapToLong(h -> OVERHEAD_BYTES_PER_HEADER + h.name().length() + h.value().length())
              .sum();
      return recorded.body().length() + headers;
    }
  }
}
