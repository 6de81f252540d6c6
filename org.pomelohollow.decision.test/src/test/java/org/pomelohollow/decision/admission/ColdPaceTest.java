package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import org.pomelohollow.document.ColdStartRate;

class ColdPaceTest {
  private static final long MILLI = 1_000_000L;
  private static final double PER_SECOND = 4.4;

  /** What the platform allows a cold target in any one second. */
  private static final double BOUND = PER_SECOND * 1.5 + 5;

  private final ColdPace pace = new ColdPace(new ColdStartRate(3_000, PER_SECOND));

  @Test
  void aColdTargetGetsNoMoreThanItBearsInAnySecond() {
    pace.announced(3_000, 0);
    Deque<Long> started = new ArrayDeque<>();
    for (long now = 0; pace.isCold(now); now += MILLI) {
      if (pace.mayStart(now)) {
        pace.started(now);
        started.addLast(now);
      }
      while (now - started.peekFirst() >= 1_000 * MILLI) {
        started.removeFirst();
      }
      assertTrue(started.size() <= BOUND, started.size() + " in a second");
    }
    assertTrue(started.size() >= PER_SECOND - 1, started.size() + " in the last second");
  }

  @Test
  void aWarmTargetIsNotPaced() {
    pace.announced(0, 0);
    for (int i = 0; i < 1_000; i++) {
      assertTrue(pace.mayStart(0));
      pace.started(0);
    }
  }

  @Test
  void theTargetsOwnWordEndsASuspicion() {
    pace.fall(0);
    assertTrue(pace.isCold(1));
    pace.announced(0, 2);
    assertFalse(pace.isCold(2));
  }

  @Test
  void theColdTimeEndsByItself() {
    pace.announced(500, 0);
    assertTrue(pace.isCold(499 * MILLI));
    assertFalse(pace.isCold(500 * MILLI));
  }

  @Test
  void peersWeighAColdTargetByItsPace() {
    assertEquals(1, pace.equivalentLimit());
    assertEquals(5, new ColdPace(new ColdStartRate(3_000, 50)).equivalentLimit());
  }
}
