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

/** Fetch of a shard's claims from a majority of the witnesses of the epoch before. */
final class ShardSync {
  private static final long FIRST_REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final int MAX_DOUBLINGS = 5;

  private final int shard;
  private final ShardSeats seats;
  private final long startedNanos;
  private final Map<MemberId, ClaimKey> reached = new HashMap<>();
  private final Map<MemberId, Long> nextNanos = new HashMap<>();
  private final Map<MemberId, Integer> unanswered = new HashMap<>();
  private final Set<MemberId> done = new HashSet<>();

  ShardSync(int shard, ShardSeats seats, long startedNanos) {
    this.shard = shard;
    this.seats = seats;
    this.startedNanos = startedNanos;
  }

  int shard() {
    return shard;
  }

  ShardSeats seats() {
    return seats;
  }

  long ageNanos(long nowNanos) {
    return nowNanos - startedNanos;
  }

  boolean isFor(int aShard, long epoch) {
    return shard == aShard && seats.now().epoch() == epoch;
  }

  boolean isDone() {
    return seats.before().isMajority(done);
  }

  /** Tells whether a transfer is the next page from its sender. */
  boolean accepts(MemberId from, ShardTransfer t) {
    return isFor(t.shard(), t.epoch())
        && seats.before().witnesses().contains(from)
        && !done.contains(from)
        && t.after().equals(Optional.ofNullable(reached.get(from)));
  }

  void took(MemberId from, ShardTransfer t) {
    nextNanos.remove(from);
    unanswered.remove(from);
    if (t.last()) {
      done.add(from);
    } else {
      reached.put(from, t.claims().get(t.claims().size() - 1).key());
    }
  }

  void ask(EffectSink effects, long nowNanos) {
    for (MemberId w : seats.before().witnesses()) {
      if (done.contains(w) || nowNanos < nextNanos.getOrDefault(w, nowNanos)) {
        continue;
      }
      int n = unanswered.merge(w, 1, Integer::sum);
      nextNanos.put(w, nowNanos + (FIRST_REPEAT_NANOS << Math.min(n - 1, MAX_DOUBLINGS)));
      ShardFetch f =
          new ShardFetch(
              shard,
              seats.now().epoch(),
              seats.before().epoch(),
              Optional.ofNullable(reached.get(w)));
      effects.emit(new Effect.Send(w, f));
    }
  }
}
