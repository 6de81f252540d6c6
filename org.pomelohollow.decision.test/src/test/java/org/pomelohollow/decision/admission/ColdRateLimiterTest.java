package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import org.pomelohollow.document.ColdStartRate;

class ColdRateLimiterTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double PER_SECOND = 4.4;

  /** Requests that the platform allows at a cold target in any one second. */
  private static final double MAX_STARTS_PER_SECOND = PER_SECOND * 1.5 + 5;

  private final ColdRateLimiter limiter = new ColdRateLimiter(new ColdStartRate(3_000, PER_SECOND));

  @Test
  void startsAtAColdTargetStayWithinTheBoundInAnySecond() {
    limiter.setRemainingColdTime(3_000, 0);
    Deque<Long> started = new ArrayDeque<>();
    for (long now = 0; limiter.isCold(now); now += NANOS_PER_MILLI) {
      if (limiter.mayStart(now)) {
        limiter.recordStart(now);
        started.addLast(now);
      }
      while (now - started.peekFirst() >= 1_000 * NANOS_PER_MILLI) {
        started.removeFirst();
      }
      assertTrue(
          started.size() <= MAX_STARTS_PER_SECOND,
          started.size() + " requests started in a second");
    }
    assertTrue(
        started.size() >= PER_SECOND - 1, started.size() + " requests started in the last second");
  }

  @Test
  void aWarmTargetIsNotLimited() {
    limiter.setRemainingColdTime(0, 0);
    for (int i = 0; i < 1_000; i++) {
      assertTrue(limiter.mayStart(0));
      limiter.recordStart(0);
    }
  }

  @Test
  void anAnnouncementOfAWarmTargetEndsTheColdTime() {
    limiter.restartColdTime(0);
    assertTrue(limiter.isCold(1));
    limiter.setRemainingColdTime(0, 2);
    assertFalse(limiter.isCold(2));
  }

  @Test
  void theColdTimeEndsByItself() {
    limiter.setRemainingColdTime(500, 0);
    assertTrue(limiter.isCold(499 * NANOS_PER_MILLI));
    assertFalse(limiter.isCold(500 * NANOS_PER_MILLI));
  }

  @Test
  void theEquivalentLimitIsTheRequestsOf100Millis() {
    assertEquals(1, limiter.equivalentLimit());
    assertEquals(5, new ColdRateLimiter(new ColdStartRate(3_000, 50)).equivalentLimit());
  }
}
