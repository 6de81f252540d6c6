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
import org.pomelohollow.decision.quarantine.SuspectQueue;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.Verdict;

/** State of a request at the daemon of its target, from arrival to end. */
public final class GuardedRequest implements TargetObserver.RunningRequest {
  private final Guard.Dependencies deps;
  private final SuspectQueue<GuardedRequest> suspects;
  private final RequestContext context;
  private final boolean bulk;
  private final GuardListener listener;
  private final Optional<ClaimKey> claimKey;
  private State state = State.ARRIVED;
  private boolean onProbation;
  private Optional<Ticket> ticket = Optional.empty();
  private Optional<Completion> completionBeforeTicket = Optional.empty();
  private Optional<ClaimId> claimId = Optional.empty();
  private boolean targetFailure;

  GuardedRequest(
      Guard.Dependencies deps,
      SuspectQueue<GuardedRequest> suspects,
      RequestContext context,
      boolean bulk,
      GuardListener listener) {
    this.deps = deps;
    this.suspects = suspects;
    this.context = context;
    this.bulk = bulk;
    this.listener = listener;
    this.claimKey = ClaimKey.of(context);
  }

  /** Returns the context of the request. */
  public RequestContext context() {
    return context;
  }

  /** Returns whether {@link #complete} needs the response, to replay it to resends. */
  public boolean recordsResponse() {
    return claimKey.isPresent();
  }

  @Override
  public String route() {
    return context.route();
  }

  @Override
  public long selfTimeNanos(long nowNanos) {
    return ticket.isPresent() ? ticket.get().selfTimeNanos(nowNanos) : 0;
  }

  /** Records that the response of the target is a failure. Called before {@link #complete}. */
  public void recordTargetFailure() {
    targetFailure = true;
  }

  /**
   * Records the end of a request that was sent to the target. Later calls have no effect.
   *
   * @param completion how the request ended
   * @param response the whole response, if it is needed and within the size limit of recorded
   *     responses
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void complete(Completion completion, Optional<RecordedResponse> response, long nowNanos) {
    if (state == State.RUNNING) {
      reportToQuarantine(completion, nowNanos);
      end(completion, claimStateAfter(completion), response, nowNanos);
    }
  }

  /**
   * Records that no byte of a request that was to be sent to the target reached it. Called instead
   * of {@link #complete}; the request may be retried elsewhere.
   *
   * @param completion how the request ended, for admission
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void completeUnsent(Completion completion, long nowNanos) {
    if (state == State.RUNNING) {
      deps.quarantine().requestEnded(context.fingerprint(), onProbation, false);
      deps.observer().ended(this, Completion.FAILED, false, nowNanos);
      end(completion, ClaimState.RELEASED, Optional.empty(), nowNanos);
    }
  }

  /**
   * Cancels a request that the entry daemon abandoned before it was sent to the target. The end of
   * a running request is reported by {@link #complete} instead.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void cancel(long nowNanos) {
    if (state == State.RUNNING || state == State.ENDED) {
      return;
    }
    boolean wasClaiming = state == State.CLAIMING;
    state = State.ENDED;
    if (wasClaiming) {
      claimId.ifPresent(id -> deps.claims().cancel(id, nowNanos));
      releaseSlot(Completion.CANCELLED, nowNanos);
    } else {
      ticket.ifPresent(deps.admission()::cancel);
    }
    releaseNextSuspect(nowNanos);
  }

  /**
   * Submits the request. The listener may be notified before this method returns, and may report
   * the end of the request at once.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void offer(long nowNanos) {
    QuarantineController q = deps.quarantine();
    Optional<Long> quarantineMillis = q.remainingQuarantineMillis(context.fingerprint(), nowNanos);
    if (quarantineMillis.isPresent()) {
      refuse(new Verdict.NotRun(ErrorCode.QUARANTINED, quarantineMillis.get()), nowNanos);
    } else if (!q.isSuspect(context.fingerprint(), nowNanos)) {
      admit(nowNanos);
    } else if (!isProbationMember() || suspects.isFull()) {
      refuse(new Verdict.NotRun(ErrorCode.SUSPECTED), nowNanos);
    } else {
      onProbation = true;
      if (suspects.admitOrEnqueue(this, nowNanos)) {
        admit(nowNanos);
      }
    }
  }

  void expire() {
    refuse(new Verdict.NotRun(ErrorCode.SUSPECTED), deps.clock().getAsLong());
  }

  private boolean isProbationMember() {
    return deps.quarantine()
        .probationMember(context.fingerprint(), context.service())
        .filter(deps.quarantine().self()::equals)
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
            refuse(verdict, deps.clock().getAsLong());
          }
        };
    Ticket t = deps.admission().offer(context, bulk, l, nowNanos);
    ticket = Optional.of(t);
    completionBeforeTicket.ifPresent(c -> deps.admission().complete(t, c, nowNanos));
  }

  private void refuse(Verdict v, long nowNanos) {
    state = State.ENDED;
    releaseNextSuspect(nowNanos);
    listener.refused(v);
  }

  /** Stops waiting as a suspect, and lets the next one proceed if this request blocked it. */
  private void releaseNextSuspect(long nowNanos) {
    suspects.removeAndAdmitNext(this).ifPresent(next -> next.resumeOffer(nowNanos));
  }

  /** Checks again before admission: while it waited, the request may have been quarantined. */
  private void resumeOffer(long nowNanos) {
    QuarantineController q = deps.quarantine();
    Optional<Long> quarantineMillis = q.remainingQuarantineMillis(context.fingerprint(), nowNanos);
    if (quarantineMillis.isPresent()) {
      refuse(new Verdict.NotRun(ErrorCode.QUARANTINED, quarantineMillis.get()), nowNanos);
    } else if (context.remainingNanos(nowNanos) <= 0) {
      refuse(new Verdict.NotRun(ErrorCode.DEADLINE_EXCEEDED), nowNanos);
    } else {
      admit(nowNanos);
    }
  }

  private void end(
      Completion c, ClaimState claimState, Optional<RecordedResponse> response, long nowNanos) {
    state = State.ENDED;
    deps.runningRequests().unregister(context);
    deps.observer().ended(this, c, targetFailure, nowNanos);
    deps.admission().recordTargetResult(c, targetFailure, nowNanos);
    claimId.ifPresent(id -> deps.claims().reportOutcome(id, claimState, response, nowNanos));
    releaseSlot(c, nowNanos);
    releaseNextSuspect(nowNanos);
  }

  private void reportToQuarantine(Completion c, long nowNanos) {
    if (c == Completion.FAILED) {
      deps.quarantine().connectionBroken(context.fingerprint(), onProbation, nowNanos);
    } else {
      boolean responded = c == Completion.RESPONDED;
      deps.quarantine().requestEnded(context.fingerprint(), onProbation, responded);
    }
  }

  private void claimOrRun() {
    if (claimKey.isEmpty()) {
      run();
      return;
    }
    state = State.CLAIMING;
    ClaimId id =
        deps.claims()
            .claim(context, claimKey.get(), this::handleClaimResult, deps.clock().getAsLong());
    claimId = Optional.of(id);
  }

  private void handleClaimResult(ClaimResult a) {
    if (a instanceof ClaimResult.Granted g) {
      claimId = Optional.of(g.id());
      run();
      return;
    }
    long now = deps.clock().getAsLong();
    state = State.ENDED;
    releaseSlot(Completion.CANCELLED, now);
    releaseNextSuspect(now);
    if (a instanceof ClaimResult.Taken t) {
      reportExistingClaim(t.claim(), t.executorAlive());
    } else if (a instanceof ClaimResult.Refused r) {
      listener.refused(new Verdict.NotRun(r.code()));
    }
  }

  private void run() {
    state = State.RUNNING;
    deps.runningRequests().register(context);
    deps.observer().started(this);
    deps.quarantine().requestStarted(context.fingerprint(), onProbation);
    listener.run();
  }

  private void reportExistingClaim(ClaimRecord c, boolean executorAlive) {
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

  /** Releases the admission slot, even if admission has not returned the ticket yet. */
  private void releaseSlot(Completion c, long nowNanos) {
    if (ticket.isPresent()) {
      deps.admission().complete(ticket.get(), c, nowNanos);
    } else {
      completionBeforeTicket = Optional.of(c);
    }
  }

  private static ClaimState claimStateAfter(Completion c) {
    return switch (c) {
      case RESPONDED -> ClaimState.RAN;
      case SHED -> ClaimState.RELEASED;
      default -> ClaimState.UNKNOWN;
    };
  }

  private enum State {
    /** Just arrived, or waiting until no other suspect runs at the target. */
    ARRIVED,
    /** Submitted to admission. */
    QUEUED,
    /** Admitted, waiting for its claim. */
    CLAIMING,
    /** Sent to the target. */
    RUNNING,
    ENDED
  }
}
