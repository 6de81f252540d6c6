package org.pomelohollow.decision.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pomelohollow.decision.guard.RunningRequests;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

class AttemptFilterTest {
  private static final Verdict LOST = new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST);
  private static final Verdict REFUSED = new Verdict.NotRun(ErrorCode.OVERLOADED);
  private static final Verdict RATE_LIMITED = new Verdict.NotRun(ErrorCode.TARGET_RATE_LIMITED);
  private static final Duration TICK = Duration.ofMillis(50);

  private final List<MemberId> attemptedMembers = new ArrayList<>();
  private final List<AttemptListener> listeners = new ArrayList<>();
  private int abandoned;

  private AttemptHarness harness(int targets, RetrySettings s) {
    return new AttemptHarness(
        targets,
        s,
        new RunningRequests(),
        (to, x, l) -> {
          attemptedMembers.add(to);
          listeners.add(l);
          return () -> abandoned++;
        });
  }

  @Example
  void aRateLimitedTargetIsPassedOverWithoutRetryBudgetAndAllowance() {
    AttemptHarness h = harness(3, new RetrySettings(0, 0, 0, 0, 0));
    h.start(false, Optional.empty());
    listeners.get(0).failed(RATE_LIMITED, Optional.of(TargetLoad.UNKNOWN));
    assertEquals(2, attemptedMembers.size());
    assertNotEquals(attemptedMembers.get(0), attemptedMembers.get(1));
    assertEquals(List.of(), h.reportedLoads);
  }

  @Example
  void aServiceWhoseTargetsAreAllRateLimitedReportsPressure() {
    AttemptHarness h = harness(2, new RetrySettings(0, 0, 0, 0, 0));
    Exchange x = h.start(true, Optional.empty());
    for (int i = 0; i < listeners.size(); i++) {
      listeners.get(i).failed(RATE_LIMITED, Optional.of(TargetLoad.UNKNOWN));
    }
    assertTrue(x.hasEnded());
    assertEquals(List.of(TargetLoad.REFUSING), h.reportedLoads);
  }

  /**
   * Ends attempts in random ways, some of them more than once: a request reported as not run has
   * not run, a non-idempotent one runs once at most, and no attempt starts after the request's end.
   */
  @Property(seed = "61", tries = 2000)
  void notRunIsReportedOnlyIfNoAttemptRan(@ForAll long seed, @ForAll boolean idempotent) {
    RandomGenerator r = new SplittableRandom(seed);
    attemptedMembers.clear();
    listeners.clear();
    AttemptHarness h = harness(1 + r.nextInt(4), RetrySettings.DEFAULT);
    Exchange x = h.start(idempotent, Optional.empty());
    int possibleRuns = 0;
    int endedAttempts = 0;
    while (!x.hasEnded()) {
      if (endedAttempts < listeners.size() && r.nextInt(3) > 0) {
        if (endedAttempts > 0 && r.nextInt(3) == 0) {
          endRandomly(listeners.get(r.nextInt(endedAttempts)), r);
        }
        possibleRuns += endRandomly(listeners.get(endedAttempts++), r);
      } else {
        h.tick(Duration.ofMillis(r.nextInt(400)));
      }
    }
    int attempts = attemptedMembers.size();
    listeners.forEach(l -> endRandomly(l, r));
    h.tick(Duration.ofSeconds(5));
    assertEquals(
        attempts, attemptedMembers.size(), "attempts started after the end of the request");
    assertTrue(h.refusals.size() <= 1);
    if (!h.refusals.isEmpty() && h.refusals.get(0) instanceof Verdict.NotRun) {
      assertEquals(0, possibleRuns);
    }
    assertTrue(idempotent || possibleRuns <= 1, possibleRuns + " possible runs");
  }

  /** Ends an attempt in a random way and returns how many times its request may have run. */
  private static int endRandomly(AttemptListener l, RandomGenerator r) {
    switch (r.nextInt(5)) {
      case 0 -> l.failed(REFUSED, Optional.empty());
      case 1 -> l.failed(new Verdict.NotRun(ErrorCode.UNREACHABLE), Optional.empty());
      case 2 -> {
        l.responseStarted(TargetLoad.UNKNOWN);
        l.responseEnded(r.nextBoolean());
        return 1;
      }
      case 3 -> {
        l.responseStarted(TargetLoad.UNKNOWN);
        l.failed(REFUSED, Optional.empty());
        return 1;
      }
      default -> {
        l.failed(LOST, Optional.empty());
        return 1;
      }
    }
    return 0;
  }

  @Example
  void aRefusalAfterALostAttemptIsReportedAsMayHaveRun() {
    AttemptHarness h = harness(2, AttemptHarness.NO_BACKOFF);
    h.start(true, Optional.empty());
    listeners.get(0).failed(LOST, Optional.empty());
    for (int i = 1; i < listeners.size(); i++) {
      listeners.get(i).failed(REFUSED, Optional.empty());
    }
    assertEquals(List.of(new Verdict.MayHaveRun(ErrorCode.OVERLOADED)), h.refusals);
  }

  @Example
  void theDeadlineEndsTheRequestAndAbandonsTheAttempt() {
    AttemptHarness h = harness(2, RetrySettings.DEFAULT);
    h.start(false, Optional.empty());
    h.tick(Duration.ofMillis(1_999));
    assertEquals(List.of(), h.refusals);
    h.tick(Duration.ofMillis(1));
    assertEquals(List.of(new Verdict.MayHaveRun(ErrorCode.DEADLINE_EXCEEDED)), h.refusals);
    assertEquals(1, abandoned);
  }

  @Example
  void aCancelledRequestAbandonsItsAttemptAndCancelsItsTimers() {
    AttemptHarness h = harness(3, RetrySettings.DEFAULT);
    Exchange running = h.start(true, Optional.empty());
    Exchange waiting = h.start(true, Optional.empty());
    listeners.get(1).failed(LOST, Optional.empty());
    List<Verdict> verdicts = new ArrayList<>();
    running.onEnd(verdicts::add);
    running.cancel();
    waiting.cancel();
    assertEquals(List.of(new Verdict.MayHaveRun(ErrorCode.CANCELLED)), verdicts);
    assertEquals(1, abandoned);
    assertEquals("0", h.timers.dump(h.clock.getAsLong()).lines().get(0).value());
  }

  @Example
  void everyTargetIsTriedBeforeOneIsRetried() {
    AttemptHarness h = harness(2, AttemptHarness.NO_BACKOFF);
    h.start(true, Optional.empty());
    while (h.refusals.isEmpty()) {
      listeners.get(listeners.size() - 1).failed(REFUSED, Optional.empty());
    }
    assertEquals(7, attemptedMembers.size());
    assertEquals(2, new HashSet<>(attemptedMembers.subList(0, 2)).size());
    for (int i = 1; i < attemptedMembers.size(); i++) {
      assertTrue(
          !attemptedMembers.get(i).equals(attemptedMembers.get(i - 1)),
          "consecutive attempts at the same target: " + attemptedMembers);
    }
  }

  @Example
  void retriesDuringAnOutageAreBoundedByTheBudget() {
    AttemptHarness h = harness(3, RetrySettings.DEFAULT);
    int requests = 1_000;
    for (int i = 0; i < requests; i++) {
      h.start(true, Optional.empty());
      for (int n = 0; n < listeners.size(); n++) {
        listeners.get(n).failed(LOST, Optional.empty());
      }
      listeners.clear();
      h.tick(TICK);
    }
    assertEquals(requests + (int) RetrySettings.DEFAULT.burst(), attemptedMembers.size());
  }

  @Example
  void theRetryBudgetRefillsWithSuccesses() {
    RetryBudgets b = new RetryBudgets(0.1, 1);
    assertTrue(b.trySpend(AttemptHarness.SERVICE));
    for (int i = 0; i < 9; i++) {
      b.recordSuccess(AttemptHarness.SERVICE);
    }
    assertTrue(!b.trySpend(AttemptHarness.SERVICE));
    b.recordSuccess(AttemptHarness.SERVICE);
    b.recordSuccess(AttemptHarness.SERVICE);
    assertTrue(b.trySpend(AttemptHarness.SERVICE));
  }

  @Example
  void aRequestWithoutATargetIsRefusedAsNotRun() {
    AttemptHarness h = harness(0, RetrySettings.DEFAULT);
    h.start(true, Optional.empty());
    assertInstanceOf(Verdict.NotRun.class, h.refusals.get(0));
  }
}
