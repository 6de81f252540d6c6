package org.pomelohollow.decision.guard;

import java.util.Optional;
import org.pomelohollow.decision.admission.AdmissionListener;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.admission.Ticket;
import org.pomelohollow.decision.claim.ClaimId;
import org.pomelohollow.decision.claim.ClaimKey;
import org.pomelohollow.decision.claim.ClaimRecord;
import org.pomelohollow.decision.claim.ClaimResult;
import org.pomelohollow.decision.claim.ClaimState;
import org.pomelohollow.decision.quarantine.QuarantineController;
import org.pomelohollow.decision.quarantine.SuspectLane;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.Verdict;

/** A request at the daemon of its target, from its arrival to its end. */
public final class GuardedCall {
  private final Guard.Parts parts;
  private final SuspectLane<GuardedCall> lane;
  private final RequestContext context;
  private final boolean bulk;
  private final GuardListener listener;
  private final Optional<ClaimKey> key;
  private State state = State.WAITING;
  private boolean onProbation;
  private Optional<Ticket> ticket = Optional.empty();
  private Optional<Completion> endedEarly = Optional.empty();
  private Optional<ClaimId> claim = Optional.empty();

  GuardedCall(
      Guard.Parts parts,
      SuspectLane<GuardedCall> lane,
      RequestContext context,
      boolean bulk,
      GuardListener listener) {
    this.parts = parts;
    this.lane = lane;
    this.context = context;
    this.bulk = bulk;
    this.listener = listener;
    this.key = ClaimKey.of(context);
  }

  /** Returns the request. */
  public RequestContext context() {
    return context;
  }

  /** Returns whether the answer is wanted at {@link #completed}, for resends. */
  public boolean recordsAnswer() {
    return key.isPresent();
  }

  /**
   * Tells that a request that was handed to the target has ended. Later calls do nothing.
   *
   * @param completion how it ended
   * @param answer the whole answer, if it is wanted and came within the bound on recorded answers
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void completed(Completion completion, Optional<RecordedAnswer> answer, long nowNanos) {
    if (state == State.RUNNING) {
      judge(completion, nowNanos);
      end(completion, stateAfter(completion), answer, nowNanos);
    }
  }

  /**
   * Tells that no byte of a request that was to be handed to the target reached it. Takes the place
   * of {@link #completed}; the request may be tried elsewhere.
   *
   * @param completion how it ended for admission
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void notSent(Completion completion, long nowNanos) {
    if (state == State.RUNNING) {
      parts.quarantine().ended(context.fingerprint(), onProbation, false);
      end(completion, ClaimState.RELEASED, Optional.empty(), nowNanos);
    }
  }

  /**
   * Tells that the entry abandoned the request before it was handed to the target. A request that
   * runs ends by {@link #completed} instead.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void cancel(long nowNanos) {
    if (state == State.RUNNING || state == State.ENDED) {
      return;
    }
    boolean claiming = state == State.CLAIMING;
    state = State.ENDED;
    if (claiming) {
      claim.ifPresent(id -> parts.claims().cancel(id, nowNanos));
      leave(Completion.CANCELLED, nowNanos);
    } else {
      ticket.ifPresent(parts.admission()::cancel);
    }
    leaveLane(nowNanos);
  }

  void offer(long nowNanos) {
    QuarantineController q = parts.quarantine();
    Optional<Long> millis = q.quarantineMillis(context.fingerprint(), nowNanos);
    if (millis.isPresent()) {
      refuse(new Verdict.NotRun(ErrorCode.QUARANTINED, millis.get()), nowNanos);
    } else if (!q.isSuspect(context.fingerprint(), nowNanos)) {
      admit(nowNanos);
    } else if (!isProbationMember() || lane.isFull()) {
      refuse(new Verdict.NotRun(ErrorCode.SUSPECTED), nowNanos);
    } else {
      onProbation = true;
      if (lane.enter(this, nowNanos)) {
        admit(nowNanos);
      }
    }
  }

  void waitedTooLong() {
    refuse(new Verdict.NotRun(ErrorCode.SUSPECTED), parts.clock().getAsLong());
  }

  private boolean isProbationMember() {
    return parts
        .quarantine()
        .probationMember(context.fingerprint(), context.service())
        .filter(parts.quarantine().self()::equals)
        .isPresent();
  }

  private void admit(long nowNanos) {
    state = State.QUEUED;
    AdmissionListener l =
        new AdmissionListener() {
          @Override
          public void admitted() {
            claimOrRun();
          }

          @Override
          public void refused(Verdict.NotRun verdict) {
            refuse(verdict, parts.clock().getAsLong());
          }
        };
    Ticket t = parts.admission().offer(context, bulk, l, nowNanos);
    ticket = Optional.of(t);
    endedEarly.ifPresent(c -> parts.admission().complete(t, c, nowNanos));
  }

  private void refuse(Verdict v, long nowNanos) {
    state = State.ENDED;
    leaveLane(nowNanos);
    listener.refused(v);
  }

  /** Lets the next suspect go on, if this call was the one that runs. */
  private void leaveLane(long nowNanos) {
    lane.leave(this).ifPresent(next -> next.offerAgain(nowNanos));
  }

  /** Looks anew: the request may be in quarantine, or cleared, since it began to wait. */
  private void offerAgain(long nowNanos) {
    QuarantineController q = parts.quarantine();
    Optional<Long> millis = q.quarantineMillis(context.fingerprint(), nowNanos);
    if (millis.isPresent()) {
      refuse(new Verdict.NotRun(ErrorCode.QUARANTINED, millis.get()), nowNanos);
    } else if (context.remainingNanos(nowNanos) <= 0) {
      refuse(new Verdict.NotRun(ErrorCode.DEADLINE_EXCEEDED), nowNanos);
    } else {
      admit(nowNanos);
    }
  }

  private void end(
      Completion c, ClaimState claimState, Optional<RecordedAnswer> answer, long nowNanos) {
    state = State.ENDED;
    parts.running().ended(context);
    claim.ifPresent(id -> parts.claims().reportOutcome(id, claimState, answer, nowNanos));
    leave(c, nowNanos);
    leaveLane(nowNanos);
  }

  private void judge(Completion c, long nowNanos) {
    if (c == Completion.FAILED) {
      parts.quarantine().broken(context.fingerprint(), onProbation, nowNanos);
    } else {
      boolean answered = c == Completion.ANSWERED;
      parts.quarantine().ended(context.fingerprint(), onProbation, answered);
    }
  }

  private void claimOrRun() {
    if (key.isEmpty()) {
      run();
      return;
    }
    state = State.CLAIMING;
    ClaimId id = parts.claims().claim(context, key.get(), this::claimed, parts.clock().getAsLong());
    claim = Optional.of(id);
  }

  private void claimed(ClaimResult a) {
    if (a instanceof ClaimResult.Granted g) {
      claim = Optional.of(g.id());
      run();
      return;
    }
    long now = parts.clock().getAsLong();
    state = State.ENDED;
    leave(Completion.CANCELLED, now);
    leaveLane(now);
    if (a instanceof ClaimResult.Taken t) {
      tell(t.claim(), t.executorAlive());
    } else if (a instanceof ClaimResult.Refused r) {
      listener.refused(new Verdict.NotRun(r.code()));
    }
  }

  private void run() {
    state = State.RUNNING;
    parts.running().started(context);
    parts.quarantine().started(context.fingerprint(), onProbation);
    listener.run();
  }

  private void tell(ClaimRecord c, boolean executorAlive) {
    if (c.fingerprint() != context.fingerprint()) {
      listener.refused(new Verdict.NotRun(ErrorCode.CLAIM_MISMATCH));
    } else if (c.response().isPresent()) {
      listener.replay(c.response().get());
    } else if (c.state() == ClaimState.RUNNING && executorAlive) {
      listener.refused(new Verdict.MayHaveRun(ErrorCode.CLAIM_IN_PROGRESS));
    } else {
      listener.refused(new Verdict.MayHaveRun(ErrorCode.CLAIM_OUTCOME_UNKNOWN));
    }
  }

  /** Gives the slot back, also while admission is still handing out the ticket. */
  private void leave(Completion c, long nowNanos) {
    if (ticket.isPresent()) {
      parts.admission().complete(ticket.get(), c, nowNanos);
    } else {
      endedEarly = Optional.of(c);
    }
  }

  private static ClaimState stateAfter(Completion c) {
    return switch (c) {
      case ANSWERED -> ClaimState.RAN;
      case SHED -> ClaimState.RELEASED;
      default -> ClaimState.UNKNOWN;
    };
  }

  private enum State {
    WAITING,
    QUEUED,
    CLAIMING,
    RUNNING,
    ENDED
  }
}
