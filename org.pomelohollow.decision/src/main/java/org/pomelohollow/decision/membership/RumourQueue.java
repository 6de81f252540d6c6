package org.pomelohollow.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.pomelohollow.model.MemberId;

/** News that waits to be passed on to the neighbours, once each. */
final class RumourQueue {
  private static final int MAX_PER_MESSAGE = 64;

  private final Map<MemberId, Item<RosterEntry>> entries = new LinkedHashMap<>();
  private final Map<MemberId, Item<Suspicion>> suspicions = new LinkedHashMap<>();

  /** Queues a live entry. */
  void add(RosterEntry r) {
    MemberId id = r.member().id();
    suspicions.remove(id);
    entries.put(id, new Item<>(r, new HashSet<>()));
  }

  /** Queues a suspicion. */
  void add(Suspicion s) {
    entries.remove(s.member());
    suspicions.put(s.member(), new Item<>(s, new HashSet<>()));
  }

  /** Notes that a peer has sent an entry, so that it needn't be told. */
  void knows(MemberId peer, RosterEntry r) {
    Item<RosterEntry> i = entries.get(r.member().id());
    if (i != null && i.news.version() <= r.version()) {
      i.knownBy.add(peer);
    }
  }

  /** Notes that a peer has sent a suspicion, so that it needn't be told. */
  void knows(MemberId peer, Suspicion s) {
    Item<Suspicion> i = suspicions.get(s.member());
    if (i != null && i.news.version() <= s.version()) {
      i.knownBy.add(peer);
    }
  }

  /** Sends all that is queued and empties the queue. */
  void flush(Collection<MemberId> neighbours, BiConsumer<MemberId, Rumours> send) {
    if (entries.isEmpty() && suspicions.isEmpty()) {
      return;
    }
    for (MemberId n : neighbours) {
      List<RosterEntry> e = unknownTo(n, entries.values());
      List<Suspicion> s = unknownTo(n, suspicions.values());
      split(e, s, 0, 0).forEach(r -> send.accept(n, r));
    }
    entries.clear();
    suspicions.clear();
  }

  /**
   * Cuts news into messages of bounded size.
   *
   * @param buckets buckets that the last message names, 0 for news
   */
  static List<Rumours> split(
      List<RosterEntry> entries, List<Suspicion> suspicions, long answerTo, long buckets) {
    List<Rumours> out = new ArrayList<>();
    int end = Math.max(entries.size(), suspicions.size());
    for (int i = 0; i < end; i += MAX_PER_MESSAGE) {
      boolean last = i + MAX_PER_MESSAGE >= end;
      out.add(new Rumours(slice(entries, i), slice(suspicions, i), answerTo, last ? buckets : 0));
    }
    if (end == 0 && buckets != 0) {
      out.add(new Rumours(List.of(), List.of(), answerTo, buckets));
    }
    return out;
  }

  private static <T> List<T> slice(List<T> list, int from) {
    int start = Math.min(from, list.size());
    return list.subList(start, Math.min(start + MAX_PER_MESSAGE, list.size()));
  }

  private static <T> List<T> unknownTo(MemberId peer, Collection<Item<T>> items) {
    return items.stream().filter(i -> !i.knownBy.contains(peer)).map(Item::news).toList();
  }

  private record Item<T>(T news, Set<MemberId> knownBy) {}
}
