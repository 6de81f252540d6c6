package org.pomelohollow.decision.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
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
import org.pomelohollow.decision.guard.RunningCalls;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

class AttemptFilterTest {
  private static final Verdict LOST = new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST);
  private static final Verdict REFUSED = new Verdict.NotRun(ErrorCode.OVERLOADED);
  private static final Duration TICK = Duration.ofMillis(50);

  private final List<MemberId> reached = new ArrayList<>();
  private final List<AttemptListener> listeners = new ArrayList<>();
  private int abandoned;

  private Fixture fixture(int targets, RetrySettings s) {
    return new Fixture(
        targets,
        s,
        new RunningCalls(),
        (to, x, l) -> {
          reached.add(to);
          listeners.add(l);
          return () -> abandoned++;
        });
  }

  @Property(seed = "61", tries = 2000)
  void aVerdictIsTrueOnEveryExit(@ForAll long seed, @ForAll boolean idempotent) {
    RandomGenerator r = new SplittableRandom(seed);
    reached.clear();
    listeners.clear();
    Fixture f = fixture(1 + r.nextInt(4), RetrySettings.DEFAULT);
    Exchange x = f.start(idempotent, Optional.empty());
    int runs = 0;
    int settled = 0;
    while (!x.hasEnded()) {
      if (settled < listeners.size() && r.nextInt(3) > 0) {
        if (settled > 0 && r.nextInt(3) == 0) {
          end(listeners.get(r.nextInt(settled)), r);
        }
        runs += end(listeners.get(settled++), r);
      } else {
        f.tick(Duration.ofMillis(r.nextInt(400)));
      }
    }
    int attempts = reached.size();
    listeners.forEach(l -> end(l, r));
    f.tick(Duration.ofSeconds(5));
    assertEquals(attempts, reached.size(), "an attempt after the end");
    assertTrue(f.told.size() <= 1);
    if (!f.told.isEmpty() && f.told.get(0) instanceof Verdict.NotRun) {
      assertEquals(0, runs);
    }
    assertTrue(idempotent || runs <= 1, runs + " runs");
  }

  private static int end(AttemptListener l, RandomGenerator r) {
    switch (r.nextInt(5)) {
      case 0 -> l.refused(REFUSED, Optional.empty());
      case 1 -> l.refused(new Verdict.NotRun(ErrorCode.UNREACHABLE), Optional.empty());
      case 2 -> {
        l.answered(TargetLoad.UNKNOWN);
        l.ended(r.nextBoolean());
        return 1;
      }
      case 3 -> {
        l.answered(TargetLoad.UNKNOWN);
        l.refused(REFUSED, Optional.empty());
        return 1;
      }
      default -> {
        l.refused(LOST, Optional.empty());
        return 1;
      }
    }
    return 0;
  }

  @Example
  void aRefusalAfterALostAttemptDoesNotSayNotRun() {
    Fixture f = fixture(2, Fixture.NO_BACKOFF);
    f.start(true, Optional.empty());
    listeners.get(0).refused(LOST, Optional.empty());
    for (int i = 1; i < listeners.size(); i++) {
      listeners.get(i).refused(REFUSED, Optional.empty());
    }
    assertEquals(List.of(new Verdict.MayHaveRun(ErrorCode.OVERLOADED)), f.told);
  }

  @Example
  void aCallerIsAnsweredAtItsDeadlineAndTheAttemptAbandoned() {
    Fixture f = fixture(2, RetrySettings.DEFAULT);
    f.start(false, Optional.empty());
    f.tick(Duration.ofMillis(1_999));
    assertEquals(List.of(), f.told);
    f.tick(Duration.ofMillis(1));
    assertEquals(List.of(new Verdict.MayHaveRun(ErrorCode.DEADLINE_EXCEEDED)), f.told);
    assertEquals(1, abandoned);
  }

  @Example
  void aLeavingCallerEndsTheAttemptAndEveryTimer() {
    Fixture f = fixture(3, RetrySettings.DEFAULT);
    Exchange running = f.start(true, Optional.empty());
    Exchange waiting = f.start(true, Optional.empty());
    listeners.get(1).refused(LOST, Optional.empty());
    running.finish(new Verdict.MayHaveRun(ErrorCode.CANCELLED));
    waiting.finish(new Verdict.MayHaveRun(ErrorCode.CANCELLED));
    assertEquals(1, abandoned);
    assertEquals("0", f.timers.dump(f.clock.getAsLong()).lines().get(0).value());
  }

  @Example
  void everyTargetIsTriedBeforeOneIsTriedAgain() {
    Fixture f = fixture(2, Fixture.NO_BACKOFF);
    f.start(true, Optional.empty());
    while (f.told.isEmpty()) {
      listeners.get(listeners.size() - 1).refused(REFUSED, Optional.empty());
    }
    assertEquals(7, reached.size());
    assertEquals(2, new HashSet<>(reached.subList(0, 2)).size());
    for (int i = 1; i < reached.size(); i++) {
      assertTrue(!reached.get(i).equals(reached.get(i - 1)), "same target at once: " + reached);
    }
  }

  @Example
  void anOutageIsNotMultiplied() {
    Fixture f = fixture(3, RetrySettings.DEFAULT);
    int requests = 1_000;
    for (int i = 0; i < requests; i++) {
      f.start(true, Optional.empty());
      for (int n = 0; n < listeners.size(); n++) {
        listeners.get(n).refused(LOST, Optional.empty());
      }
      listeners.clear();
      f.tick(TICK);
    }
    assertEquals(requests + (int) RetrySettings.DEFAULT.burst(), reached.size());
  }

  @Example
  void theBudgetFillsWithSuccesses() {
    RetryBudgets b = new RetryBudgets(0.1, 1);
    assertTrue(b.spend(Fixture.SERVICE));
    for (int i = 0; i < 9; i++) {
      b.succeeded(Fixture.SERVICE);
    }
    assertTrue(!b.spend(Fixture.SERVICE));
    b.succeeded(Fixture.SERVICE);
    b.succeeded(Fixture.SERVICE);
    assertTrue(b.spend(Fixture.SERVICE));
  }

  @Example
  void withoutATargetNothingRuns() {
    Fixture f = fixture(0, RetrySettings.DEFAULT);
    f.start(true, Optional.empty());
    assertInstanceOf(Verdict.NotRun.class, f.told.get(0));
  }
}
