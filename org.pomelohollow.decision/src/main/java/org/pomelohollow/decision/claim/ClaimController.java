package org.pomelohollow.decision.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.guard.RecordedResponse;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.RequestContext;

/**
 * Claims requests on behalf of this daemon's target (as executor), and records claims of all
 * daemons for the shards that the ring assigns to this one (as witness).
 *
 * <p>As executor it asks all witnesses of a key, grants the claim once a majority has recorded it,
 * and reports to the witnesses how the request ended.
 */
public final class ClaimController implements Controller {
  private static final String PART = "claims";
  private static final long RESEND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final MemberId self;
  private final ClaimSettings settings;
  private final EffectSink effects;
  private final ClaimRing ring;
  private final ClaimWitness witness;
  private final ClaimReports reports;
  private final Map<ClaimId, PendingClaim> pending = new HashMap<>();

  /** Granted claims whose outcome has not been reported yet. */
  private final Map<ClaimId, PendingClaim> granted = new HashMap<>();

  private long sequence;
  private long ringVersion;

  /**
   * Creates a controller with an empty ring.
   *
   * @param self identity of this daemon
   * @param settings limits on claims
   * @param effects receives the effects that the controller emits
   */
  public ClaimController(MemberId self, ClaimSettings settings, EffectSink effects) {
    this.self = self;
    this.settings = settings;
    this.effects = effects;
    this.ring = new ClaimRing(self, settings.windowNanos(), effects);
    this.witness = new ClaimWitness(self, settings, ring, effects);
    this.reports = new ClaimReports(effects);
  }

  /** Returns the limits on claims. */
  public ClaimSettings settings() {
    return settings;
  }

  /**
   * Asks the witnesses of a key to record a claim.
   *
   * @param context the request
   * @param key key of the request
   * @param listener called once with the result, possibly before this method returns; not called
   *     after {@link #cancel}
   * @param nowNanos current monotonic time, in nanoseconds
   * @return identity of the claim, for {@link #cancel}
   */
  public ClaimId claim(
      RequestContext context, ClaimKey key, Consumer<ClaimResult> listener, long nowNanos) {
    ClaimId id = new ClaimId(self, ++sequence);
    PendingClaim p = new PendingClaim(key, context, id, nowNanos, listener);
    pending.put(id, p);
    p.restart(ring.state().assignment(key.shard()).current());
    sendRequests(p, nowNanos);
    return id;
  }

  /**
   * Reports to the witnesses how a request with a granted claim ended. Does nothing if the claim is
   * not granted or its end has been reported.
   *
   * @param id identity of the claim
   * @param state {@link ClaimState#RELEASED} only if the request certainly did not run
   * @param response the target's whole response, if there is one and it is no longer than {@link
   *     ClaimSettings#maxBytesPerResponse}
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void reportOutcome(
      ClaimId id, ClaimState state, Optional<RecordedResponse> response, long nowNanos) {
    PendingClaim p = granted.remove(id);
    if (p != null) {
      sendReport(p, state, response, nowNanos);
    }
  }

  /**
   * Cancels a claim that is not granted yet, and releases it at the witnesses. The listener of the
   * claim is not called any more.
   *
   * @param id identity of the claim
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void cancel(ClaimId id, long nowNanos) {
    PendingClaim p = pending.remove(id);
    if (p != null) {
      sendReport(p, ClaimState.RELEASED, Optional.empty(), nowNanos);
    }
  }

  /** Returns whether this daemon can stop without loss of claims: it is not in the ring. */
  public boolean canLeave() {
    return !ring.state().contains(self);
  }

  /** Returns whether a ring is active. Without one no claim can be granted. */
  public boolean hasRing() {
    return !ring.state().isEmpty();
  }

  @Override
  public void handle(Event event, long nowNanos) {
    ring.handle(event, nowNanos);
    if (event instanceof Event.MessageReceived m) {
      handleMessage(m, nowNanos);
    }
    if (ring.state().version() != ringVersion) {
      ringVersion = ring.state().version();
      witness.onRingChanged(nowNanos);
      List.copyOf(pending.values()).forEach(p -> restartIfReassigned(p, nowNanos));
    }
    if (event instanceof Event.Tick) {
      witness.tick(nowNanos);
      reports.tick(nowNanos);
      List.copyOf(pending.values()).forEach(p -> tick(p, nowNanos));
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of(PART)
        .line("ring", ring.state().version())
        .line("ring confirmed", ring.isConfirmed(nowNanos))
        .line("ring members", ring.state().members())
        .line("witnessed", witness.store().claimCount())
        .line("answer bytes", witness.store().responseBytes())
        .line("shards in transfer", witness.shardsInTransfer())
        .line("pending", pending.size())
        .line("running", granted.size())
        .line("reports waiting", reports.unacknowledgedReports())
        .build();
  }

  private void handleMessage(Event.MessageReceived m, long nowNanos) {
    if (m.message() instanceof ClaimRequest r) {
      ring.observePeerVersion(m.from(), r.epoch());
      effects.emit(new Effect.Send(m.from(), witness.decide(r, nowNanos)));
    } else if (m.message() instanceof ClaimReply r) {
      handleReply(m.from(), r, nowNanos);
    } else if (m.message() instanceof ClaimReport r) {
      witness.recordOutcome(r);
      effects.emit(new Effect.Send(m.from(), new ClaimReportAck(r.id())));
    } else if (m.message() instanceof ClaimReportAck a) {
      reports.handleAck(m.from(), a);
    } else if (m.message() instanceof ShardFetch f) {
      witness.handleFetch(m.from(), f, nowNanos);
    } else if (m.message() instanceof ShardTransfer t) {
      witness.handleTransfer(m.from(), t, nowNanos);
    }
  }

  /** Sends the claim to every witness that has not granted it yet. */
  private void sendRequests(PendingClaim p, long nowNanos) {
    ClaimRequest r = p.request();
    Set<MemberId> to = p.startRound(nowNanos);
    to.stream().filter(w -> !w.equals(self)).forEach(w -> effects.emit(new Effect.Send(w, r)));
    if (to.contains(self)) {
      handleReply(self, witness.decide(r, nowNanos), nowNanos);
    }
  }

  /**
   * Records a witness's reply, and grants or refuses the claim if that decides it. A conflicting
   * claim of another request takes precedence once its outcome is final, or once all witnesses have
   * replied unless this claim comes first in a split vote.
   */
  private void handleReply(MemberId from, ClaimReply r, long nowNanos) {
    ring.observePeerVersion(from, r.ringVersion());
    PendingClaim p = pending.get(r.id());
    if (p == null) {
      return;
    }
    p.recordReply(from, r);
    if (p.conflict().isPresent() && !p.isConflictFromSameRequest()) {
      if (p.isConflictFinal() || (p.haveAllReplied() && !p.isFirstInSplitVote())) {
        finishAsTaken(p, nowNanos);
      }
    } else if (p.hasMajority()) {
      grant(p, nowNanos);
    } else if (p.isRefusedAsFull()) {
      refuse(p, ErrorCode.CLAIMS_FULL, nowNanos);
    }
  }

  /**
   * Grants a claim that a majority has recorded. Refuses it if the request's deadline has passed,
   * or if more than half of the claim window has passed since the claim started, as after a pause
   * of this process: the witnesses' records might have expired.
   */
  private void grant(PendingClaim p, long nowNanos) {
    long age = nowNanos - p.startedNanos();
    if (p.context().remainingNanos(nowNanos) <= 0) {
      refuse(p, ErrorCode.DEADLINE_EXCEEDED, nowNanos);
    } else if (age > settings.windowNanos() / 2) {
      refuse(p, ErrorCode.CLAIM_UNAVAILABLE, nowNanos);
    } else {
      pending.remove(p.id());
      granted.put(p.id(), p);
      p.listener().accept(new ClaimResult.Granted(p.id()));
    }
  }

  private void finishAsTaken(PendingClaim p, long nowNanos) {
    cancel(p.id(), nowNanos);
    ClaimRecord c = p.conflict().orElseThrow();
    p.listener().accept(new ClaimResult.Taken(c, ring.isLive(c.id().executor())));
  }

  private void refuse(PendingClaim p, ErrorCode code, long nowNanos) {
    cancel(p.id(), nowNanos);
    p.listener().accept(new ClaimResult.Refused(code));
  }

  /** Starts the claim anew if the ring has assigned other witnesses to its shard. */
  private void restartIfReassigned(PendingClaim p, long nowNanos) {
    WitnessSet s = ring.state().assignment(p.key().shard()).current();
    if (pending.containsKey(p.id()) && s.epoch() != p.witnessSet().epoch()) {
      p.restart(s);
      sendRequests(p, nowNanos);
    }
  }

  private void tick(PendingClaim p, long nowNanos) {
    if (!pending.containsKey(p.id())) {
      return;
    }
    boolean resendDue = nowNanos - p.sentNanos() >= RESEND_INTERVAL_NANOS;
    boolean taken =
        p.conflict().isPresent() && !p.isConflictFromSameRequest() && !p.isFirstInSplitVote();
    if (resendDue && taken) {
      finishAsTaken(p, nowNanos);
    } else if (nowNanos - p.startedNanos() > settings.timeoutNanos()) {
      timeOut(p, nowNanos);
    } else if (resendDue) {
      p.discardRefusals();
      sendRequests(p, nowNanos);
    }
  }

  private void timeOut(PendingClaim p, long nowNanos) {
    if (p.conflict().isPresent()) {
      finishAsTaken(p, nowNanos);
    } else {
      refuse(p, ErrorCode.CLAIM_UNAVAILABLE, nowNanos);
    }
  }

  /** Reports the state of a claim to every witness that may have recorded it. */
  private void sendReport(
      PendingClaim p, ClaimState state, Optional<RecordedResponse> response, long nowNanos) {
    Set<MemberId> to = new HashSet<>(p.contacted());
    to.addAll(ring.state().assignment(p.key().shard()).current().witnesses());
    ClaimReport r = new ClaimReport(p.key(), p.id(), state, response);
    if (to.remove(self)) {
      witness.recordOutcome(r);
    }
    reports.send(r, to, nowNanos);
  }
}
