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

/** Claims requests for this daemon's target, and witnesses claims of others. */
public final class ClaimController implements Controller {
  private static final String PART = "claims";
  private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final MemberId self;
  private final ClaimSettings settings;
  private final EffectSink effects;
  private final ClaimRing ring;
  private final ClaimWitness witness;
  private final ClaimReports reports;
  private final Map<ClaimId, PendingClaim> pending = new HashMap<>();
  private final Map<ClaimId, PendingClaim> running = new HashMap<>();
  private long sequence;
  private long ringVersion;

  /**
   * Creates a controller that knows no ring.
   *
   * @param self this daemon
   * @param settings bounds
   * @param effects takes what the controller asks for
   */
  public ClaimController(MemberId self, ClaimSettings settings, EffectSink effects) {
    this.self = self;
    this.settings = settings;
    this.effects = effects;
    this.ring = new ClaimRing(self, settings.windowNanos(), effects);
    this.witness = new ClaimWitness(self, settings, ring, effects);
    this.reports = new ClaimReports(effects);
  }

  /** Returns the bounds on claims. */
  public ClaimSettings settings() {
    return settings;
  }

  /**
   * Asks the witnesses of a key for a claim.
   *
   * @param context the request
   * @param key its key
   * @param listener called once, perhaps before this method returns
   * @param nowNanos current monotonic time, in nanoseconds
   * @return identity of the claim, for {@link #cancel}
   */
  public ClaimId claim(
      RequestContext context, ClaimKey key, Consumer<ClaimAnswer> listener, long nowNanos) {
    ClaimId id = new ClaimId(self, ++sequence);
    PendingClaim p = new PendingClaim(key, context, id, nowNanos, listener);
    pending.put(id, p);
    p.restart(ring.state().seats(key.shard()).now());
    ask(p, nowNanos);
    return id;
  }

  /**
   * Tells how a request ended whose claim was granted.
   *
   * @param id identity of the claim
   * @param state {@link ClaimState#RELEASED} only if the request certainly did not run
   * @param answer its whole answer, if it came and is within the bound
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void ended(
      ClaimId id, ClaimState state, Optional<RecordedResponse> answer, long nowNanos) {
    PendingClaim p = running.remove(id);
    if (p != null) {
      report(p, state, answer, nowNanos);
    }
  }

  /**
   * Gives up a claim that is not granted yet; its listener is not called any more.
   *
   * @param id identity of the claim
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void cancel(ClaimId id, long nowNanos) {
    PendingClaim p = pending.remove(id);
    if (p != null) {
      report(p, ClaimState.RELEASED, Optional.empty(), nowNanos);
    }
  }

  /** Returns whether this daemon is out of the ring, so that a planned stop loses no claims. */
  public boolean canLeave() {
    return !ring.state().contains(self);
  }

  /** Returns whether claims can be had at all. */
  public boolean hasRing() {
    return !ring.state().isNone();
  }

  @Override
  public void handle(Event event, long nowNanos) {
    ring.handle(event, nowNanos);
    if (event instanceof Event.MessageReceived m) {
      receive(m, nowNanos);
    }
    if (ring.state().version() != ringVersion) {
      ringVersion = ring.state().version();
      witness.ringChanged(nowNanos);
      List.copyOf(pending.values()).forEach(p -> follow(p, nowNanos));
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
        .line("witnessed", witness.store().claims())
        .line("answer bytes", witness.store().answerBytes())
        .line("shards in transfer", witness.shardsInTransfer())
        .line("pending", pending.size())
        .line("running", running.size())
        .line("reports waiting", reports.waiting())
        .build();
  }

  private void receive(Event.MessageReceived m, long nowNanos) {
    if (m.message() instanceof ClaimRequest r) {
      ring.hearVersion(m.from(), r.epoch());
      effects.emit(new Effect.Send(m.from(), witness.decide(r, nowNanos)));
    } else if (m.message() instanceof ClaimReply r) {
      replied(m.from(), r, nowNanos);
    } else if (m.message() instanceof ClaimReport r) {
      witness.settle(r);
      effects.emit(new Effect.Send(m.from(), new ClaimReportAck(r.id())));
    } else if (m.message() instanceof ClaimReportAck a) {
      reports.confirmed(m.from(), a);
    } else if (m.message() instanceof ShardFetch f) {
      witness.answer(m.from(), f, nowNanos);
    } else if (m.message() instanceof ShardTransfer t) {
      witness.receive(m.from(), t, nowNanos);
    }
  }

  private void ask(PendingClaim p, long nowNanos) {
    ClaimRequest r = p.request();
    Set<MemberId> to = p.startRound(nowNanos);
    to.stream().filter(w -> !w.equals(self)).forEach(w -> effects.emit(new Effect.Send(w, r)));
    if (to.contains(self)) {
      replied(self, witness.decide(r, nowNanos), nowNanos);
    }
  }

  private void replied(MemberId from, ClaimReply r, long nowNanos) {
    ring.hearVersion(from, r.ringVersion());
    PendingClaim p = pending.get(r.id());
    if (p == null) {
      return;
    }
    p.took(from, r);
    if (p.taken().isPresent() && !p.isTakenByItself()) {
      if (p.isTakenForGood() || (p.allReplied() && !p.isCrossedAndFirst())) {
        taken(p, nowNanos);
      }
    } else if (p.hasMajority()) {
      grant(p, nowNanos);
    } else if (p.isFull()) {
      refuse(p, ErrorCode.CLAIMS_FULL, nowNanos);
    }
  }

  /** Checks at use that the grants have not expired, as after a pause of this process. */
  private void grant(PendingClaim p, long nowNanos) {
    long age = nowNanos - p.startedNanos();
    if (p.context().remainingNanos(nowNanos) <= 0) {
      refuse(p, ErrorCode.DEADLINE_EXCEEDED, nowNanos);
    } else if (age > settings.windowNanos() / 2) {
      refuse(p, ErrorCode.CLAIM_UNAVAILABLE, nowNanos);
    } else {
      pending.remove(p.id());
      running.put(p.id(), p);
      p.listener().accept(new ClaimAnswer.Granted(p.id()));
    }
  }

  private void taken(PendingClaim p, long nowNanos) {
    cancel(p.id(), nowNanos);
    ClaimRecord c = p.taken().orElseThrow();
    p.listener().accept(new ClaimAnswer.Taken(c, ring.isLive(c.id().executor())));
  }

  private void refuse(PendingClaim p, ErrorCode code, long nowNanos) {
    cancel(p.id(), nowNanos);
    p.listener().accept(new ClaimAnswer.Refused(code));
  }

  private void follow(PendingClaim p, long nowNanos) {
    Seats s = ring.state().seats(p.key().shard()).now();
    if (pending.containsKey(p.id()) && s.epoch() != p.seats().epoch()) {
      p.restart(s);
      ask(p, nowNanos);
    }
  }

  private void tick(PendingClaim p, long nowNanos) {
    if (!pending.containsKey(p.id())) {
      return;
    }
    boolean waited = nowNanos - p.sentNanos() >= REPEAT_NANOS;
    boolean taken = p.taken().isPresent() && !p.isTakenByItself() && !p.isCrossedAndFirst();
    if (waited && taken) {
      taken(p, nowNanos);
    } else if (nowNanos - p.startedNanos() > settings.timeoutNanos()) {
      expire(p, nowNanos);
    } else if (waited) {
      p.retry();
      ask(p, nowNanos);
    }
  }

  private void expire(PendingClaim p, long nowNanos) {
    if (p.taken().isPresent()) {
      taken(p, nowNanos);
    } else {
      refuse(p, ErrorCode.CLAIM_UNAVAILABLE, nowNanos);
    }
  }

  private void report(
      PendingClaim p, ClaimState state, Optional<RecordedResponse> answer, long nowNanos) {
    Set<MemberId> to = new HashSet<>(p.asked());
    to.addAll(ring.state().seats(p.key().shard()).now().witnesses());
    ClaimReport r = new ClaimReport(p.key(), p.id(), state, answer);
    if (to.remove(self)) {
      witness.settle(r);
    }
    reports.send(r, to, nowNanos);
  }
}
