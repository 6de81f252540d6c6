package org.pomelohollow.decision.attempt;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.request.Filter;
import org.pomelohollow.decision.routing.AttemptResult;
import org.pomelohollow.decision.routing.Router;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/** Ends the chain: sends a request to a target, and to another one where that is safe. */
public final class AttemptFilter implements Filter {
  private final Router router;
  private final AttemptTransport transport;
  private final LongSupplier clock;

  /**
   * Creates a filter.
   *
   * @param router chooses targets
   * @param transport carries attempts
   * @param clock monotonic time, in nanoseconds
   */
  public AttemptFilter(Router router, AttemptTransport transport, LongSupplier clock) {
    this.router = router;
    this.transport = transport;
    this.clock = clock;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    new Attempts(x).start(new Verdict.NotRun(ErrorCode.NO_TARGET));
  }

  private final class Attempts {
    private final Exchange x;
    private final Set<MemberId> tried = new HashSet<>();
    private int allowance;

    Attempts(Exchange x) {
      this.x = x;
      this.allowance = x.context().retryAllowance();
    }

    void start(Verdict ifNone) {
      long now = clock.getAsLong();
      if (x.context().remainingNanos(now) <= 0) {
        x.refuse(tried.isEmpty() ? new Verdict.NotRun(ErrorCode.DEADLINE_EXCEEDED) : ifNone);
        return;
      }
      Optional<MemberId> to = router.choose(x.context().service(), tried, now);
      if (to.isEmpty()) {
        x.refuse(ifNone);
        return;
      }
      tried.add(to.get());
      x.setContext(x.context().withRetryAllowance(allowance));
      Attempt a = new Attempt(this, to.get(), now);
      router.started(to.get());
      Runnable abandon = transport.start(to.get(), x, a);
      x.onEnd(v -> a.abandon(abandon));
    }

    void failed(Verdict v) {
      boolean repeatable = v.isSafeToRepeat() || x.context().idempotent();
      if (x.hasEnded() || !repeatable || allowance == 0) {
        x.refuse(v);
        return;
      }
      allowance--;
      start(v);
    }
  }

  private final class Attempt implements AttemptListener {
    private final Attempts all;
    private final MemberId to;
    private final long startedNanos;
    private Optional<TargetLoad> load = Optional.empty();
    private boolean answered;
    private boolean over;

    Attempt(Attempts all, MemberId to, long startedNanos) {
      this.all = all;
      this.to = to;
      this.startedNanos = startedNanos;
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
      load = l;
      end(
          verdict instanceof Verdict.NotRun
              ? AttemptResult.Outcome.REFUSED
              : AttemptResult.Outcome.LOST);
      all.failed(verdict);
    }

    @Override
    public void ended(boolean complete) {
      if (over) {
        return;
      }
      end(complete ? AttemptResult.Outcome.ANSWERED : AttemptResult.Outcome.LOST);
      all.x.finish(
          complete ? new Verdict.Ran() : new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST));
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
      long now = clock.getAsLong();
      router.ended(to, new AttemptResult(outcome, now - startedNanos, load), now);
    }
  }
}
