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

/** All attempts of one request, one after the other. */
final class Attempts {
  /** Lost attempts after which there may be another: two targets at most die of one call. */
  private static final int MAX_LOST = 1;

  private final Exchange x;
  private final AttemptFilter.Parts parts;
  private final Set<MemberId> tried = new HashSet<>();
  private final RetryAllowance allowance;
  private Optional<MemberId> last = Optional.empty();
  private int extra;
  private int reached;
  private int lost;

  Attempts(Exchange x, AttemptFilter.Parts parts) {
    this.x = x;
    this.parts = parts;
    this.allowance = new RetryAllowance(x.context().retryAllowance());
  }

  void start() {
    Optional<MemberId> to = choose(now());
    if (to.isEmpty()) {
      x.refuse(ErrorCode.NO_TARGET);
      return;
    }
    send(to.get());
  }

  private void send(MemberId to) {
    long now = now();
    if (x.context().remainingNanos(now) <= 0) {
      x.refuse(ErrorCode.DEADLINE_EXCEEDED);
      return;
    }
    tried.add(to);
    last = Optional.of(to);
    Attempt a = new Attempt(to, now, allowance.handToAttempt());
    x.setContext(x.context().withRetryAllowance(a.handed));
    x.attemptStarted();
    parts.router().started(to);
    Runnable abandon = parts.transport().start(to, x, a);
    x.onEnd(v -> a.abandon(abandon));
  }

  private Optional<MemberId> choose(long now) {
    RequestContext c = x.context();
    if (parts.quarantine().isSuspect(c.fingerprint(), now)) {
      Optional<MemberId> only = parts.quarantine().probationMember(c.fingerprint(), c.service());
      if (only.isPresent() && !only.equals(last)) {
        return only;
      }
    }
    Optional<MemberId> fresh = parts.router().choose(c.service(), tried, now);
    if (fresh.isPresent() || tried.isEmpty()) {
      return fresh;
    }
    tried.clear();
    last.ifPresent(tried::add);
    return parts.router().choose(c.service(), tried, now);
  }

  private void failed(Verdict v) {
    if (x.hasEnded()) {
      return;
    }
    if (isSuspicious(v)) {
      parts.quarantine().hear(x.context().fingerprint(), now());
    }
    boolean repeatable =
        reached < x.route().maxAttempts()
            && !isSameElsewhere(v)
            && (v.isSafeToRetry() || x.context().idempotent());
    if (!repeatable || lost > MAX_LOST || !spend(v)) {
      x.refuse(v);
      return;
    }
    extra++;
    long now = now();
    long at = now + backoff(v);
    if (x.context().deadlineNanos() <= at) {
      x.refuse(v);
    } else if (at == now) {
      again(v);
    } else {
      Runnable cancel = parts.timers().at(at, () -> again(v));
      x.onEnd(end -> cancel.run());
    }
  }

  private void again(Verdict earlier) {
    Optional<MemberId> to = choose(now());
    if (to.isEmpty()) {
      x.refuse(earlier);
      return;
    }
    send(to.get());
  }

  private boolean spend(Verdict v) {
    if (allowance.left() == 0) {
      return false;
    }
    if (!isStaleRouting(v) && !parts.budgets().spend(x.context().service())) {
      return false;
    }
    return allowance.spend();
  }

  /** Waits before all but the first try elsewhere after a refusal. */
  private long backoff(Verdict v) {
    if (v instanceof Verdict.NotRun && extra == 1) {
      return 0;
    }
    long max = parts.settings().backoffNanos(extra);
    return max == 0 ? 0 : parts.random().nextLong(max + 1);
  }

  /** Tells whether the member refused because it is gone or going, not because of load. */
  private static boolean isStaleRouting(Verdict v) {
    return v instanceof Verdict.NotRun n
        && switch (n.code()) {
          case DRAINING, ZONE_OUT, NO_TARGET, UNREACHABLE -> true;
          default -> false;
        };
  }

  /** Tells whether the request may have crashed a target. */
  private static boolean isSuspicious(Verdict v) {
    return v instanceof Verdict.MayHaveRun m
        ? m.code() == ErrorCode.CONNECTION_LOST
        : v instanceof Verdict.NotRun n && n.code() == ErrorCode.SUSPECTED;
  }

  /** Tells whether a target has seen the request, whether or not it took it. */
  private static boolean mayHaveReached(Verdict v) {
    return !(v instanceof Verdict.NotRun n) || n.code() == ErrorCode.TARGET_REFUSED;
  }

  /** Tells whether every other target would refuse for the same reason. */
  private static boolean isSameElsewhere(Verdict v) {
    return v instanceof Verdict.NotRun n
        && switch (n.code()) {
          case DEADLINE_EXCEEDED, QUARANTINED, CLAIM_MISMATCH, CLAIMS_FULL -> true;
          default -> false;
        };
  }

  private long now() {
    return parts.clock().getAsLong();
  }

  /** One attempt. After its end the transport's calls change nothing. */
  private final class Attempt implements AttemptListener {
    private final MemberId to;
    private final long startedNanos;
    private final int handed;
    private Optional<TargetLoad> load = Optional.empty();
    private boolean answered;
    private boolean over;

    Attempt(MemberId to, long startedNanos, int handed) {
      this.to = to;
      this.startedNanos = startedNanos;
      this.handed = handed;
    }

    @Override
    public void answered(TargetLoad l) {
      answered = true;
      load = Optional.of(l);
    }

    @Override
    public void refused(Verdict verdict, Optional<TargetLoad> l) {
      if (over) {
        return;
      }
      if (answered) {
        ended(false);
        return;
      }
      load = l;
      if (mayHaveReached(verdict)) {
        reached++;
      }
      if (verdict instanceof Verdict.NotRun n) {
        end(AttemptResult.Outcome.REFUSED);
        x.attemptNotRun();
        if (n.code() != ErrorCode.TARGET_REFUSED) {
          allowance.returnUnused(handed);
        }
      } else {
        end(AttemptResult.Outcome.LOST);
        lost++;
      }
      failed(verdict);
    }

    @Override
    public void ended(boolean complete) {
      if (over) {
        return;
      }
      end(complete ? AttemptResult.Outcome.ANSWERED : AttemptResult.Outcome.LOST);
      if (complete) {
        parts.budgets().succeeded(x.context().service());
      }
      x.finish(complete ? new Verdict.Ran() : new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST));
    }

    void abandon(Runnable transportAbandon) {
      if (over) {
        return;
      }
      end(answered ? AttemptResult.Outcome.LOST : AttemptResult.Outcome.ABANDONED);
      transportAbandon.run();
    }

    private void end(AttemptResult.Outcome outcome) {
      over = true;
      long now = now();
      load.ifPresent(l -> parts.feedback().heard(x, l, now));
      parts.router().ended(to, new AttemptResult(outcome, now - startedNanos, load), now);
    }
  }
}
