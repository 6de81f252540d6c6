package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.model.MemberId;

/**
 * Records claims for the shards of which this daemon is a witness. In a new epoch of a shard it
 * grants no claim before it has the claims of the previous epoch.
 */
final class ClaimWitness {
  private static final long EXPIRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final MemberId self;
  private final ClaimSettings settings;
  private final ClaimRing ring;
  private final EffectSink effects;
  private final ClaimStore store;

  /** By shard: newest epoch in which this daemon has all earlier claims and so may grant. */
  private final long[] readyEpochs = new long[RingState.SHARD_COUNT];

  private final List<ShardSync> syncs = new ArrayList<>();
  private long nextExpiryNanos = Long.MIN_VALUE;

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

  /** Decides on a claim, and records it if it is granted. */
  ClaimReply decide(ClaimRequest r, long nowNanos) {
    WitnessSet witnessSet = ring.state().assignment(r.key().shard()).current();
    if (!mayGrant(r, witnessSet, nowNanos)) {
      return reply(r, ClaimReply.Decision.NOT_READY, Optional.empty());
    }
    Optional<ClaimRecord> existing = store.find(r.key(), nowNanos);
    if (existing.isPresent() && existing.get().id().equals(r.id())) {
      boolean running = existing.get().state() == ClaimState.RUNNING;
      return reply(
          r,
          running ? ClaimReply.Decision.GRANTED : ClaimReply.Decision.NOT_READY,
          Optional.empty());
    }
    if (existing.isPresent() && existing.get().state() != ClaimState.RELEASED) {
      return reply(r, ClaimReply.Decision.TAKEN, existing);
    }
    if (existing.isEmpty() && store.isFull()) {
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

  /** Records how a claimed request ended. */
  void recordOutcome(ClaimReport r) {
    store.advanceState(r.key(), r.id(), r.state(), r.response());
  }

  /**
   * Replies to a fetch with the next page of claims. Does not reply if this daemon has not reached
   * the epoch of the fetch, or does not have all claims of the previous epoch.
   */
  void handleFetch(MemberId from, ShardFetch f, long nowNanos) {
    ring.observePeerVersion(from, f.epoch());
    long epoch = ring.state().assignment(f.shard()).current().epoch();
    if (epoch < f.epoch() || readyEpochs[f.shard()] < f.previousEpoch()) {
      return;
    }
    List<ClaimRecord> page = store.page(f.shard(), f.afterKey(), nowNanos);
    boolean last =
        page.isEmpty()
            || store
                .page(f.shard(), Optional.of(page.get(page.size() - 1).key()), nowNanos)
                .isEmpty();
    effects.emit(
        new Effect.Send(from, new ShardTransfer(f.shard(), f.epoch(), f.afterKey(), page, last)));
  }

  /** Merges the claims of a page that this daemon has fetched. */
  void handleTransfer(MemberId from, ShardTransfer t, long nowNanos) {
    for (ShardSync s : List.copyOf(syncs)) {
      if (s.accepts(from, t)) {
        t.claims().forEach(r -> store.merge(r, nowNanos));
        s.recordPage(from, t);
        s.sendDueFetches(effects, nowNanos);
      }
    }
    finishSyncs(nowNanos);
  }

  /** Prepares to grant claims for the shards that a new ring assigns to this daemon. */
  void onRingChanged(long nowNanos) {
    for (int s = 0; s < RingState.SHARD_COUNT; s++) {
      ShardAssignment assignment = ring.state().assignment(s);
      if (assignment.current().witnesses().contains(self)
          && readyEpochs[s] < assignment.current().epoch()) {
        prepareShard(s, assignment, nowNanos);
      }
    }
    finishSyncs(nowNanos);
  }

  void tick(long nowNanos) {
    syncs.forEach(s -> s.sendDueFetches(effects, nowNanos));
    finishSyncs(nowNanos);
    if (nowNanos >= nextExpiryNanos) {
      nextExpiryNanos = nowNanos + EXPIRY_INTERVAL_NANOS;
      store.expire(nowNanos);
    }
  }

  /** Returns whether this daemon may grant claims in the epoch of a request. */
  private boolean mayGrant(ClaimRequest r, WitnessSet witnessSet, long nowNanos) {
    return ring.isConfirmed(nowNanos)
        && witnessSet.epoch() == r.epoch()
        && witnessSet.witnesses().contains(self)
        && readyEpochs[r.key().shard()] == witnessSet.epoch();
  }

  private ClaimReply reply(
      ClaimRequest r, ClaimReply.Decision decision, Optional<ClaimRecord> existing) {
    return new ClaimReply(r.id(), r.epoch(), ring.state().version(), decision, existing);
  }

  /** Makes a shard ready if this daemon has its previous claims, or else starts to fetch them. */
  private void prepareShard(int shard, ShardAssignment assignment, long nowNanos) {
    if (hasPreviousClaims(shard, assignment)) {
      readyEpochs[shard] = assignment.current().epoch();
    } else if (syncs.stream().noneMatch(s -> s.isFor(shard, assignment.current().epoch()))) {
      ShardSync s = new ShardSync(shard, assignment, nowNanos);
      syncs.add(s);
      s.sendDueFetches(effects, nowNanos);
    }
  }

  /** Returns whether this daemon has all claims of the previous epoch of a shard. */
  private boolean hasPreviousClaims(int shard, ShardAssignment assignment) {
    WitnessSet previous = assignment.previous();
    return previous.epoch() == 0
        || (previous.witnesses().contains(self) && readyEpochs[shard] >= previous.epoch());
  }

  /**
   * Makes every shard ready whose fetch is complete or no longer needed. A fetch older than the
   * claim window is not needed, since all claims of the previous epoch have expired. A shard that
   * becomes ready may complete the fetch of another epoch, so this repeats until nothing changes.
   */
  private void finishSyncs(long nowNanos) {
    boolean changed = true;
    while (changed) {
      changed = false;
      for (ShardSync s : List.copyOf(syncs)) {
        boolean done =
            s.isDone()
                || hasPreviousClaims(s.shard(), s.assignment())
                || s.ageNanos(nowNanos) > settings.windowNanos();
        if (done) {
          syncs.remove(s);
          long epoch = s.assignment().current().epoch();
          readyEpochs[s.shard()] = Math.max(readyEpochs[s.shard()], epoch);
          changed = true;
        }
      }
    }
  }
}
