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

/** Queue of roster updates to be gossiped to the neighbours, each sent once. */
final class RumourQueue {
  /** Bound on the entries, and on the suspicions, of one message. */
  private static final int MAX_PER_MESSAGE = 64;

  private final Map<MemberId, QueuedUpdate<RosterEntry>> entries = new LinkedHashMap<>();
  private final Map<MemberId, QueuedUpdate<Suspicion>> suspicions = new LinkedHashMap<>();

  /**
   * Queues a live entry. Replaces what is queued of the same member.
   *
   * @param r the entry
   */
  void add(RosterEntry r) {
    MemberId id = r.member().id();
    suspicions.remove(id);
    entries.put(id, new QueuedUpdate<>(r, new HashSet<>()));
  }

  /**
   * Queues a suspicion. Replaces what is queued of the same member.
   *
   * @param s the suspicion
   */
  void add(Suspicion s) {
    entries.remove(s.member());
    suspicions.put(s.member(), new QueuedUpdate<>(s, new HashSet<>()));
  }

  /**
   * Records that a peer has sent an entry, so that the queued one is not sent to that peer.
   *
   * @param peer identity of the peer
   * @param r entry that the peer sent; an older version than the queued one has no effect
   */
  void markKnown(MemberId peer, RosterEntry r) {
    QueuedUpdate<RosterEntry> i = entries.get(r.member().id());
    if (i != null && i.update.version() <= r.version()) {
      i.knownBy.add(peer);
    }
  }

  /**
   * Records that a peer has sent a suspicion, so that the queued one is not sent to that peer.
   *
   * @param peer identity of the peer
   * @param s suspicion that the peer sent; an older version than the queued one has no effect
   */
  void markKnown(MemberId peer, Suspicion s) {
    QueuedUpdate<Suspicion> i = suspicions.get(s.member());
    if (i != null && i.update.version() <= s.version()) {
      i.knownBy.add(peer);
    }
  }

  /**
   * Sends each neighbour the queued updates that it is not known to have, and empties the queue.
   *
   * @param neighbours identities of the neighbours
   * @param send sends a message to a member
   */
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
   * Splits updates into messages of bounded size.
   *
   * @param entries live entries
   * @param suspicions members that are suspected, declared dead or have left
   * @param syncRequestId number of the request that the messages reply to, 0 for gossip
   * @param coveredBuckets bit set of the buckets that the messages cover, set in the last one only;
   *     0 for gossip
   * @return the messages; none if there is nothing to send, but at least one for a reply that
   *     covers a bucket
   */
  static List<Rumours> split(
      List<RosterEntry> entries,
      List<Suspicion> suspicions,
      long syncRequestId,
      long coveredBuckets) {
    List<Rumours> out = new ArrayList<>();
    int end = Math.max(entries.size(), suspicions.size());
    for (int i = 0; i < end; i += MAX_PER_MESSAGE) {
      boolean last = i + MAX_PER_MESSAGE >= end;
      out.add(
          new Rumours(
              slice(entries, i), slice(suspicions, i), syncRequestId, last ? coveredBuckets : 0));
    }
    if (end == 0 && coveredBuckets != 0) {
      out.add(new Rumours(List.of(), List.of(), syncRequestId, coveredBuckets));
    }
    return out;
  }

  private static <T> List<T> slice(List<T> list, int from) {
    int start = Math.min(from, list.size());
    return list.subList(start, Math.min(start + MAX_PER_MESSAGE, list.size()));
  }

  private static <T> List<T> unknownTo(MemberId peer, Collection<QueuedUpdate<T>> items) {
    return items.stream().filter(i -> !i.knownBy.contains(peer)).map(QueuedUpdate::update).toList();
  }

  /** A queued update and the peers that have it already. */
  private record QueuedUpdate<T>(T update, Set<MemberId> knownBy) {}
}
