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

/**
 * Checks retry allowances in call trees, whose targets make further calls through their daemons.
 */
class RetryTreeTest {
  private static final RetrySettings SETTINGS = new RetrySettings(6, 1, 1_000_000, 0, 0);

  @Property(seed = "62", tries = 1000)
  void attemptsNeverExceedCallsPlusRetryAllowance(@ForAll long seed) {
    CallTree t = new CallTree(new SplittableRandom(seed), 12, 3, 400);
    t.call(Optional.empty());
    assertTrue(
        t.attempts <= t.calls + SETTINGS.rootAllowance(), t.attempts + " attempts, " + t.calls);
  }

  @Example
  void aChainOfSixWithAFailingLastServiceStaysWithinItsRetryAllowance() {
    CallTree t = new CallTree(new SplittableRandom(1), 5, 1, 1_000_000);
    t.leavesFail = true;
    assertTrue(!t.call(Optional.empty()));
    assertEquals(4, t.leafAttempts, "attempts that reach the leaf");
    assertTrue(t.attempts <= t.calls + SETTINGS.rootAllowance());
  }

  @Example
  void laterCallsOfARequestGetSmallerAllowancesThatAreNotReturned() {
    RunningRequests r = new RunningRequests();
    AttemptHarness harness = new AttemptHarness(1, SETTINGS, r, (to, x, l) -> () -> {});
    Exchange root = harness.start(true, Optional.empty());
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

  private static final class CallTree {
    private final RandomGenerator random;
    private final int maxDepth;
    private final int maxCallsPerRequest;
    private final int maxTotalCalls;
    private final RunningRequests running = new RunningRequests();
    private final AttemptHarness harness;
    private boolean leavesFail;
    private int calls;
    private int attempts;
    private int leafAttempts;

    CallTree(RandomGenerator random, int maxDepth, int maxCallsPerRequest, int maxTotalCalls) {
      this.random = random;
      this.maxDepth = maxDepth;
      this.maxCallsPerRequest = maxCallsPerRequest;
      this.maxTotalCalls = maxTotalCalls;
      harness = new AttemptHarness(3, SETTINGS, running, (to, x, l) -> attempt(x, l));
    }

    /** Makes a call and returns whether it succeeded. */
    boolean call(Optional<RequestContext> parent) {
      calls++;
      int refusalsBefore = harness.refusals.size();
      harness.start(leavesFail || random.nextInt(4) > 0, parent);
      return harness.refusals.size() == refusalsBefore;
    }

    private Runnable attempt(Exchange x, AttemptListener l) {
      RequestContext c = x.context();
      attempts++;
      int outcome = leavesFail ? 2 : random.nextInt(8);
      if (outcome == 0) {
        l.failed(new Verdict.NotRun(ErrorCode.OVERLOADED), Optional.empty());
        return () -> {};
      }
      running.register(c);
      boolean callsSucceeded = runTarget(c);
      running.unregister(c);
      if (outcome == 1 || (leavesFail && !callsSucceeded)) {
        l.failed(new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST), Optional.empty());
      } else {
        l.responseStarted(TargetLoad.UNKNOWN);
        l.responseEnded(true);
      }
      return () -> {};
    }

    /** Makes the calls of a request at its target and returns whether all succeeded. */
    private boolean runTarget(RequestContext c) {
      if (c.depth() == maxDepth) {
        leafAttempts++;
        return false;
      }
      int n = leavesFail ? 1 : random.nextInt(maxCallsPerRequest + 1);
      boolean allSucceeded = true;
      for (int i = 0; i < n && calls < maxTotalCalls; i++) {
        allSucceeded &= call(Optional.of(c));
      }
      return allSucceeded;
    }
  }
}
