package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.model.MemberId;

/** Records claims for the shards in which this daemon has a seat. */
final class ClaimWitness {
  private static final long SWEEP_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final MemberId self;
  private final ClaimSettings settings;
  private final ClaimRing ring;
  private final EffectSink effects;
  private final ClaimStore store;
  private final long[] readyEpochs = new long[RingState.SHARDS];
  private final List<ShardSync> syncs = new ArrayList<>();
  private long nextSweepNanos = Long.MIN_VALUE;

  ClaimWitness(MemberId self, ClaimSettings settings, ClaimRing ring, EffectSink effects) {
    this.self = self;
    this.settings = settings;
    this.ring = ring;
    this.effects = effects;
    this.store = new ClaimStore(settings);
  }

  ClaimStore store() {
    return store;
  }

  int shardsInTransfer() {
    return syncs.size();
  }

  ClaimReply decide(ClaimRequest r, long nowNanos) {
    Seats seats = ring.state().seats(r.key().shard()).now();
    if (!mayGrant(r, seats, nowNanos)) {
      return reply(r, ClaimReply.Decision.NOT_READY, Optional.empty());
    }
    Optional<ClaimRecord> old = store.find(r.key(), nowNanos);
    if (old.isPresent() && old.get().id().equals(r.id())) {
      boolean held = old.get().state() == ClaimState.RUNNING;
      return reply(
          r, held ? ClaimReply.Decision.GRANTED : ClaimReply.Decision.NOT_READY, Optional.empty());
    }
    if (old.isPresent() && old.get().state() != ClaimState.RELEASED) {
      return reply(r, ClaimReply.Decision.TAKEN, old);
    }
    if (old.isEmpty() && store.isFull()) {
      return reply(r, ClaimReply.Decision.FULL, Optional.empty());
    }
    store.put(
        new ClaimRecord(
            r.key(),
            r.fingerprint(),
            r.requestId(),
            r.id(),
            0,
            ClaimState.RUNNING,
            Optional.empty()),
        nowNanos);
    return reply(r, ClaimReply.Decision.GRANTED, Optional.empty());
  }

  void settle(ClaimReport r) {
    store.settle(r.key(), r.id(), r.state(), r.answer());
  }

  /** Answers a fetch if this daemon's claims are complete for the epoch that is asked for. */
  void answer(MemberId from, ShardFetch f, long nowNanos) {
    ring.hearVersion(from, f.epoch());
    long epoch = ring.state().seats(f.shard()).now().epoch();
    if (epoch < f.epoch() || readyEpochs[f.shard()] < f.before()) {
      return;
    }
    List<ClaimRecord> page = store.page(f.shard(), f.after(), nowNanos);
    boolean last =
        page.isEmpty()
            || store
                .page(f.shard(), Optional.of(page.get(page.size() - 1).key()), nowNanos)
                .isEmpty();
    effects.emit(
        new Effect.Send(from, new ShardTransfer(f.shard(), f.epoch(), f.after(), page, last)));
  }

  void receive(MemberId from, ShardTransfer t, long nowNanos) {
    for (ShardSync s : List.copyOf(syncs)) {
      if (s.accepts(from, t)) {
        t.claims().forEach(r -> store.merge(r, nowNanos));
        s.took(from, t);
        s.ask(effects, nowNanos);
      }
    }
    finishSyncs(nowNanos);
  }

  /** Looks for seats that the ring has newly given to this daemon. */
  void ringChanged(long nowNanos) {
    for (int s = 0; s < RingState.SHARDS; s++) {
      ShardSeats seats = ring.state().seats(s);
      if (seats.now().witnesses().contains(self) && readyEpochs[s] < seats.now().epoch()) {
        take(s, seats, nowNanos);
      }
    }
    finishSyncs(nowNanos);
  }

  void tick(long nowNanos) {
    syncs.forEach(s -> s.ask(effects, nowNanos));
    finishSyncs(nowNanos);
    if (nowNanos >= nextSweepNanos) {
      nextSweepNanos = nowNanos + SWEEP_NANOS;
      store.expire(nowNanos);
    }
  }

  private boolean mayGrant(ClaimRequest r, Seats seats, long nowNanos) {
    return ring.isConfirmed(nowNanos)
        && seats.epoch() == r.epoch()
        && seats.witnesses().contains(self)
        && readyEpochs[r.key().shard()] == seats.epoch();
  }

  private ClaimReply reply(ClaimRequest r, ClaimReply.Decision d, Optional<ClaimRecord> existing) {
    return new ClaimReply(r.id(), r.epoch(), ring.state().version(), d, existing);
  }

  private void take(int shard, ShardSeats seats, long nowNanos) {
    if (isComplete(shard, seats)) {
      readyEpochs[shard] = seats.now().epoch();
    } else if (syncs.stream().noneMatch(s -> s.isFor(shard, seats.now().epoch()))) {
      ShardSync s = new ShardSync(shard, seats, nowNanos);
      syncs.add(s);
      s.ask(effects, nowNanos);
    }
  }

  /** Tells whether this daemon's claims of the epoch before are complete. */
  private boolean isComplete(int shard, ShardSeats seats) {
    Seats before = seats.before();
    return before.epoch() == 0
        || (before.witnesses().contains(self) && readyEpochs[shard] >= before.epoch());
  }

  private void finishSyncs(long nowNanos) {
    boolean again = true;
    while (again) {
      again = false;
      for (ShardSync s : List.copyOf(syncs)) {
        boolean done =
            s.isDone()
                || isComplete(s.shard(), s.seats())
                || s.ageNanos(nowNanos) > settings.windowNanos();
        if (done) {
          syncs.remove(s);
          long epoch = s.seats().now().epoch();
          readyEpochs[s.shard()] = Math.max(readyEpochs[s.shard()], epoch);
          again = true;
        }
      }
    }
  }
}
