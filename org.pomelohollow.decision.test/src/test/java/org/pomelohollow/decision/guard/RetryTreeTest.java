package org.pomelohollow.decision.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pomelohollow.decision.attempt.AttemptHarness;
import org.pomelohollow.decision.attempt.AttemptListener;
import org.pomelohollow.decision.attempt.RetrySettings;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/** Call trees whose targets make further calls through their daemons. */
class RetryTreeTest {
  private static final RetrySettings SETTINGS = new RetrySettings(6, 1, 1_000_000, 0, 0);

  @Property(seed = "62", tries = 1000)
  void attemptsNeverExceedCallsAndAllowance(@ForAll long seed) {
    Tree t = new Tree(new SplittableRandom(seed), 12, 3, 400);
    t.call(Optional.empty());
    assertTrue(
        t.attempts <= t.calls + SETTINGS.rootAllowance(), t.attempts + " attempts, " + t.calls);
  }

  @Example
  void aChainOfSixWithAFailedBottomSpendsNoMoreThanItsAllowance() {
    Tree t = new Tree(new SplittableRandom(1), 5, 1, 1_000_000);
    t.failAtBottom = true;
    assertTrue(!t.call(Optional.empty()));
    assertEquals(4, t.bottom, "attempts that reach the bottom");
    assertTrue(t.attempts <= t.calls + SETTINGS.rootAllowance());
  }

  @Example
  void aLaterCallOfARequestGetsLessAndNothingComesBack() {
    RunningRequests r = new RunningRequests();
    AttemptHarness f = new AttemptHarness(1, SETTINGS, r, (to, x, l) -> () -> {});
    Exchange root = f.start(true, Optional.empty());
    RequestContext c = root.context();
    assertEquals(4, c.retryAllowance());
    r.register(c);
    assertEquals(2, r.allocateToCall(c.requestId()));
    assertEquals(1, r.allocateToCall(c.requestId()));
    assertEquals(1, r.allocateToCall(c.requestId()));
    assertEquals(0, r.allocateToCall(c.requestId()));
    r.unregister(c);
    assertEquals(0, r.size());
    assertEquals(0, r.allocateToCall(c.requestId()));
  }

  private static final class Tree {
    private final RandomGenerator random;
    private final int depth;
    private final int fanOut;
    private final int maxCalls;
    private final RunningRequests running = new RunningRequests();
    private final AttemptHarness fixture;
    private boolean failAtBottom;
    private int calls;
    private int attempts;
    private int bottom;

    Tree(RandomGenerator random, int depth, int fanOut, int maxCalls) {
      this.random = random;
      this.depth = depth;
      this.fanOut = fanOut;
      this.maxCalls = maxCalls;
      fixture = new AttemptHarness(3, SETTINGS, running, (to, x, l) -> attempt(x, l));
    }

    boolean call(Optional<RequestContext> parent) {
      calls++;
      int told = fixture.refusals.size();
      fixture.start(failAtBottom || random.nextInt(4) > 0, parent);
      return fixture.refusals.size() == told;
    }

    private Runnable attempt(Exchange x, AttemptListener l) {
      RequestContext c = x.context();
      attempts++;
      int fate = failAtBottom ? 2 : random.nextInt(8);
      if (fate == 0) {
        l.failed(new Verdict.NotRun(ErrorCode.OVERLOADED), Optional.empty());
        return () -> {};
      }
      running.register(c);
      boolean done = runTarget(c);
      running.unregister(c);
      if (fate == 1 || (failAtBottom && !done)) {
        l.failed(new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST), Optional.empty());
      } else {
        l.responseStarted(TargetLoad.UNKNOWN);
        l.responseEnded(true);
      }
      return () -> {};
    }

    private boolean runTarget(RequestContext c) {
      if (c.depth() == depth) {
        bottom++;
        return false;
      }
      int n = failAtBottom ? 1 : random.nextInt(fanOut + 1);
      boolean done = true;
      for (int i = 0; i < n && calls < maxCalls; i++) {
        done &= call(Optional.of(c));
      }
      return done;
    }
  }
}
