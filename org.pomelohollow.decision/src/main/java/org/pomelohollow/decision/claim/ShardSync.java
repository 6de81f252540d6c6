package org.pomelohollow.decision.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.model.MemberId;

/**
 * Fetches a shard's claims, page by page, from a majority of the witnesses of its previous epoch.
 * Resends fetches that get no reply, with exponential backoff.
 */
final class ShardSync {
  private static final long FIRST_RESEND_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final int MAX_DOUBLINGS = 5;

  private final int shard;
  private final ShardAssignment assignment;
  private final long startedNanos;

  /** Last key received from each witness. */
  private final Map<MemberId, ClaimKey> lastKeys = new HashMap<>();

  private final Map<MemberId, Long> nextFetchNanos = new HashMap<>();
  private final Map<MemberId, Integer> fetchesWithoutReply = new HashMap<>();
  private final Set<MemberId> completed = new HashSet<>();

  ShardSync(int shard, ShardAssignment assignment, long startedNanos) {
    this.shard = shard;
    this.assignment = assignment;
    this.startedNanos = startedNanos;
  }

  int shard() {
    return shard;
  }

  ShardAssignment assignment() {
    return assignment;
  }

  long ageNanos(long nowNanos) {
    return nowNanos - startedNanos;
  }

  boolean isFor(int otherShard, long epoch) {
    return shard == otherShard && assignment.current().epoch() == epoch;
  }

  /** Returns whether a majority of the previous witnesses has sent all its claims. */
  boolean isDone() {
    return assignment.previous().hasMajorityIn(completed);
  }

  /** Returns whether a transfer is the next expected page from its sender. */
  boolean accepts(MemberId from, ShardTransfer t) {
    return isFor(t.shard(), t.epoch())
        && assignment.previous().witnesses().contains(from)
        && !completed.contains(from)
        && t.afterKey().equals(Optional.ofNullable(lastKeys.get(from)));
  }

  /** Records a page that {@link #accepts} allowed. */
  void recordPage(MemberId from, ShardTransfer t) {
    nextFetchNanos.remove(from);
    fetchesWithoutReply.remove(from);
    if (t.lastPage()) {
      completed.add(from);
    } else {
      lastKeys.put(from, t.claims().get(t.claims().size() - 1).key());
    }
  }

  /** Sends the next fetch to every witness that has claims left and whose next fetch is due. */
  void sendDueFetches(EffectSink effects, long nowNanos) {
    for (MemberId w : assignment.previous().witnesses()) {
      if (completed.contains(w) || nowNanos < nextFetchNanos.getOrDefault(w, nowNanos)) {
        continue;
      }
      int attempt = fetchesWithoutReply.merge(w, 1, Integer::sum);
      nextFetchNanos.put(
          w, nowNanos + (FIRST_RESEND_DELAY_NANOS << Math.min(attempt - 1, MAX_DOUBLINGS)));
      ShardFetch f =
          new ShardFetch(
              shard,
              assignment.current().epoch(),
              assignment.previous().epoch(),
              Optional.ofNullable(lastKeys.get(w)));
      effects.emit(new Effect.Send(w, f));
    }
  }
}
