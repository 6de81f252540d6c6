package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.pomelohollow.decision.guard.RecordedResponse;

/** Claims that this daemon witnesses, for the claim window. Never drops a claim before its time. */
final class ClaimStore {
  private static final int PAGE_CLAIMS = 64;

  private final ClaimSettings settings;
  private final Map<Integer, TreeMap<ClaimKey, Entry>> shards = new HashMap<>();
  private int claims;
  private long answerBytes;

  ClaimStore(ClaimSettings settings) {
    this.settings = settings;
  }

  int claims() {
    return claims;
  }

  long answerBytes() {
    return answerBytes;
  }

  boolean isFull() {
    return claims >= settings.maxClaims();
  }

  Optional<ClaimRecord> find(ClaimKey key, long nowNanos) {
    return entry(key).map(e -> e.record(nowNanos));
  }

  /** Records a claim in place of any other on its key. */
  void put(ClaimRecord r, long nowNanos) {
    remove(r.key());
    Entry e = new Entry(r, nowNanos - r.ageNanos());
    shards.computeIfAbsent(r.key().shard(), s -> new TreeMap<>()).put(r.key(), e);
    claims++;
    keepAnswer(e, r.answer());
  }

  /** Sets the state of a claim, unless another claim holds the key. */
  void settle(ClaimKey key, ClaimId id, ClaimState state, Optional<RecordedResponse> answer) {
    Entry e = entry(key).orElse(null);
    if (e == null || !e.first.id().equals(id) || e.state.compareTo(state) >= 0) {
      return;
    }
    if (state == ClaimState.RELEASED && e.state != ClaimState.RUNNING) {
      return;
    }
    e.state = state;
    keepAnswer(e, answer);
  }

  /** Takes over what another witness knows of a key. */
  void merge(ClaimRecord r, long nowNanos) {
    Entry e = entry(r.key()).orElse(null);
    if (e == null || e.state == ClaimState.RELEASED) {
      put(r, nowNanos);
    } else if (r.state() == ClaimState.RELEASED || e.first.id().equals(r.id())) {
      settle(r.key(), r.id(), r.state(), r.answer());
    } else if (e.state != ClaimState.RAN && r.state() == ClaimState.RAN) {
      put(r, nowNanos);
    } else if (e.state != ClaimState.RAN) {
      e.state = ClaimState.UNKNOWN;
    }
  }

  /** Returns the claims of a shard after a key, in order, up to a bound. */
  List<ClaimRecord> page(int shard, Optional<ClaimKey> after, long nowNanos) {
    TreeMap<ClaimKey, Entry> all = shards.getOrDefault(shard, new TreeMap<>());
    NavigableMap<ClaimKey, Entry> rest = after.map(k -> all.tailMap(k, false)).orElse(all);
    List<ClaimRecord> out = new ArrayList<>();
    long bytes = 0;
    for (Entry e : rest.values()) {
      if (out.size() == PAGE_CLAIMS || bytes > settings.maxRecordedBytes()) {
        break;
      }
      out.add(e.record(nowNanos));
      bytes += e.answerBytes();
    }
    return out;
  }

  void expire(long nowNanos) {
    List<ClaimKey> old = new ArrayList<>();
    for (TreeMap<ClaimKey, Entry> m : shards.values()) {
      for (Entry e : m.values()) {
        if (nowNanos - e.sinceNanos > settings.windowNanos()) {
          old.add(e.first.key());
        }
      }
    }
    old.forEach(this::remove);
  }

  private Optional<Entry> entry(ClaimKey key) {
    return Optional.ofNullable(shards.get(key.shard())).map(m -> m.get(key));
  }

  private void remove(ClaimKey key) {
    TreeMap<ClaimKey, Entry> m = shards.get(key.shard());
    Entry e = m == null ? null : m.remove(key);
    if (e != null) {
      claims--;
      answerBytes -= e.answerBytes();
    }
  }

  private void keepAnswer(Entry e, Optional<RecordedResponse> a) {
    long bytes = a.map(Entry::size).orElse(0L);
    if (a.isPresent() && answerBytes - e.answerBytes() + bytes <= settings.maxAnswerBytes()) {
      answerBytes += bytes - e.answerBytes();
      e.answer = a;
    }
  }

  private static final class Entry {
    private static final int BYTES_PER_FIELD = 32;

    private final ClaimRecord first;
    private final long sinceNanos;
    private ClaimState state;
    private Optional<RecordedResponse> answer = Optional.empty();

    Entry(ClaimRecord first, long sinceNanos) {
      this.first = first;
      this.sinceNanos = sinceNanos;
      this.state = first.state();
    }

    ClaimRecord record(long nowNanos) {
      return new ClaimRecord(
          first.key(),
          first.fingerprint(),
          first.requestId(),
          first.id(),
          Math.max(0, nowNanos - sinceNanos),
          state,
          answer);
    }

    long answerBytes() {
      return answer.map(Entry::size).orElse(0L);
    }

    static long size(RecordedResponse a) {
      long headers =
          a.headers().stream()
              .mapToLong(h -> BYTES_PER_FIELD + h.name().length() + h.value().length())
              .sum();
      return a.body().length() + headers;
    }
  }
}
