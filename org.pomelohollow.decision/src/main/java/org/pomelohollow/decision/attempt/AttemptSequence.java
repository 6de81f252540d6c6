package org.pomelohollow.decision.attempt;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.routing.AttemptResult;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/** The attempts of one request: a first attempt and retries, one at a time. */
final class AttemptSequence {
  /** Lost attempts that may be retried, so that one request crashes two targets at most. */
  private static final int MAX_RETRIED_LOSSES = 1;

  /** Rate-limited targets that one request passes over. */
  private static final int MAX_PASSED_OVER = 4;

  private final Exchange exchange;
  private final AttemptFilter.Dependencies deps;
  private final Set<MemberId> tried = new HashSet<>();
  private final RetryAllowance allowance;
  private Optional<MemberId> lastTried = Optional.empty();
  private int retries;
  private int targetAttempts;
  private int lostAttempts;
  private int passedOver;

  AttemptSequence(Exchange exchange, AttemptFilter.Dependencies deps) {
    this.exchange = exchange;
    this.deps = deps;
    this.allowance = new RetryAllowance(exchange.context().retryAllowance());
  }

  void start() {
    Optional<MemberId> to = choose(now());
    if (to.isEmpty()) {
      exchange.refuse(ErrorCode.NO_TARGET);
      return;
    }
    send(to.get());
  }

  private void send(MemberId to) {
    long now = now();
    if (exchange.context().remainingNanos(now) <= 0) {
      exchange.refuse(ErrorCode.DEADLINE_EXCEEDED);
      return;
    }
    tried.add(to);
    lastTried = Optional.of(to);
    Attempt a = new Attempt(to, now, allowance.allocateToAttempt());
    exchange.setContext(exchange.context().withRetryAllowance(a.allowanceShare));
    exchange.attemptStarted();
    deps.router().attemptStarted(to, now);
    Runnable abandon = deps.transport().start(to, exchange, a);
    exchange.onEnd(v -> a.abandon(abandon));
  }

  private Optional<MemberId> choose(long now) {
    RequestContext c = exchange.context();
    if (deps.quarantine().isSuspect(c.fingerprint(), now)) {
      Optional<MemberId> probation =
          deps.quarantine().probationMember(c.fingerprint(), c.service());
      if (probation.isPresent() && !probation.equals(lastTried)) {
        return probation;
      }
    }
    Optional<MemberId> untried =
        deps.router().choose(c.service(), tried, exchange.bodyBytes(), now);
    if (untried.isPresent() || tried.isEmpty()) {
      return untried;
    }
    tried.clear();
    lastTried.ifPresent(tried::add);
    return deps.router().choose(c.service(), tried, exchange.bodyBytes(), now);
  }

  /** Retries after a failed attempt if that is safe and within all bounds, else refuses. */
  private void retryOrRefuse(Verdict v) {
    if (exchange.hasEnded()) {
      return;
    }
    if (mayHaveCrashedTarget(v)) {
      deps.quarantine().markSuspect(exchange.context().fingerprint(), now());
    }
    boolean retryable =
        targetAttempts < exchange.route().maxAttempts()
            && !isSameForAllTargets(v)
            && (v.isSafeToRetry() || exchange.context().idempotent());
    if (!retryable || lostAttempts > MAX_RETRIED_LOSSES || !spendRetry(v)) {
      refuse(v);
      return;
    }
    retries++;
    long now = now();
    long retryAtNanos = now + backoffNanos(v);
    if (exchange.context().deadlineNanos() <= retryAtNanos) {
      refuse(v);
    } else if (retryAtNanos == now) {
      retry(v);
    } else {
      Runnable cancel = deps.timers().schedule(retryAtNanos, () -> retry(v));
      exchange.onEnd(end -> cancel.run());
    }
  }

  private void retry(Verdict previous) {
    Optional<MemberId> to = choose(now());
    if (to.isEmpty()) {
      refuse(previous);
      return;
    }
    send(to.get());
  }

  /**
   * Refuses the request. If the targets' request rates leave no room for it, that counts as
   * pressure on its route: a single target with a limit does not, while others have room.
   */
  private void refuse(Verdict v) {
    if (isRateLimited(v)) {
      deps.feedback().loadReported(exchange, TargetLoad.REFUSING, now());
    }
    exchange.refuse(v);
  }

  private boolean spendRetry(Verdict v) {
    if (isRateLimited(v)) {
      return passedOver++ < MAX_PASSED_OVER; // Reached no target, so it is no retry at one.
    }
    if (allowance.remaining() == 0) {
      return false;
    }
    if (!isMemberUnavailable(v) && !deps.budgets().trySpend(exchange.context().service())) {
      return false;
    }
    return allowance.trySpend();
  }

  /**
   * Returns the time to wait before a retry: none before the first one if the request did not run.
   */
  private long backoffNanos(Verdict v) {
    if (v instanceof Verdict.NotRun && retries == 1) {
      return 0;
    }
    long limitNanos = deps.settings().backoffLimitNanos(retries);
    return limitNanos == 0 ? 0 : deps.random().nextLong(limitNanos + 1);
  }

  /** Returns whether the member refused because it is unavailable, not because of load. */
  private static boolean isMemberUnavailable(Verdict v) {
    return v instanceof Verdict.NotRun n
        && switch (n.code()) {
          case DRAINING, ZONE_OUT, NO_TARGET, UNREACHABLE -> true;
          default -> false;
        };
  }

  private static boolean isRateLimited(Verdict v) {
    return v instanceof Verdict.NotRun n && n.code() == ErrorCode.TARGET_RATE_LIMITED;
  }

  /** Returns whether the verdict suggests that the request crashed a target. */
  private static boolean mayHaveCrashedTarget(Verdict v) {
    return v instanceof Verdict.MayHaveRun m
        ? m.code() == ErrorCode.CONNECTION_LOST
        : v instanceof Verdict.NotRun n && n.code() == ErrorCode.SUSPECTED;
  }

  /** Returns whether the request may have reached a target, which may also have refused it. */
  private static boolean mayHaveReachedTarget(Verdict v) {
    return !(v instanceof Verdict.NotRun n) || n.code() == ErrorCode.TARGET_REFUSED;
  }

  /** Returns whether every other target would refuse the request for the same reason. */
  private static boolean isSameForAllTargets(Verdict v) {
    return v instanceof Verdict.NotRun n
        && switch (n.code()) {
          case DEADLINE_EXCEEDED, QUARANTINED, CLAIM_MISMATCH, CLAIMS_FULL -> true;
          default -> false;
        };
  }

  private long now() {
    return deps.clock().getAsLong();
  }

  /** One attempt. Calls of the transport after its end have no effect. */
  private final class Attempt implements AttemptListener {
    private final MemberId to;
    private final long startedNanos;
    private final int allowanceShare;
    private Optional<TargetLoad> load = Optional.empty();
    private boolean responding;
    private boolean ended;

    Attempt(MemberId to, long startedNanos, int allowanceShare) {
      this.to = to;
      this.startedNanos = startedNanos;
      this.allowanceShare = allowanceShare;
    }

    @Override
    public void responseStarted(TargetLoad l) {
      responding = true;
      load = Optional.of(l);
    }

    @Override
    public void failed(Verdict verdict, Optional<TargetLoad> l) {
      if (ended) {
        return;
      }
      if (responding) {
        responseEnded(false);
        return;
      }
      load = l;
      if (mayHaveReachedTarget(verdict)) {
        targetAttempts++;
      }
      if (verdict instanceof Verdict.NotRun n) {
        end(AttemptResult.Outcome.REFUSED, !isRateLimited(verdict));
        exchange.attemptNotRun();
        if (n.code() != ErrorCode.TARGET_REFUSED) {
          allowance.returnUnused(allowanceShare);
        }
      } else {
        end(AttemptResult.Outcome.LOST);
        lostAttempts++;
      }
      retryOrRefuse(verdict);
    }

    @Override
    public void responseEnded(boolean complete) {
      if (ended) {
        return;
      }
      end(complete ? AttemptResult.Outcome.RESPONDED : AttemptResult.Outcome.LOST);
      if (complete) {
        deps.budgets().recordSuccess(exchange.context().service());
      }
      exchange.finish(
          complete ? new Verdict.Ran() : new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST));
    }

    void abandon(Runnable transportAbandon) {
      if (ended) {
        return;
      }
      end(responding ? AttemptResult.Outcome.LOST : AttemptResult.Outcome.ABANDONED);
      transportAbandon.run();
    }

    private void end(AttemptResult.Outcome outcome) {
      end(outcome, true);
    }

    private void end(AttemptResult.Outcome outcome, boolean reportsPressure) {
      ended = true;
      long now = now();
      if (reportsPressure) {
        load.ifPresent(l -> deps.feedback().loadReported(exchange, l, now));
      }
      deps.router().attemptEnded(to, new AttemptResult(outcome, now - startedNanos, load), now);
    }
  }
}
