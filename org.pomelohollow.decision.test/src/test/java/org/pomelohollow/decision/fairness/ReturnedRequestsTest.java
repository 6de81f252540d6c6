package org.pomelohollow.decision.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.pomelohollow.model.AccountId;

/** Guards against callers that are preferred without a refusal, and delays that are not obeyed. */
class ReturnedRequestsTest {
  private static final AccountId ACCOUNT = new AccountId("a");
  private static final long MILLI = 1_000_000;

  private final ReturnedRequests returned = new ReturnedRequests();

  @Test
  void aRefusalIsGoodForOneRequestInItsWindow() {
    returned.expect(ACCOUNT, "r", 1_000 * MILLI);
    assertFalse(returned.take(ACCOUNT, "r", 999 * MILLI), "too early");
    assertFalse(returned.take(new AccountId("b"), "r", 1_010 * MILLI), "another account");
    assertFalse(returned.take(ACCOUNT, "q", 1_010 * MILLI), "another route");
    assertTrue(returned.take(ACCOUNT, "r", 1_010 * MILLI));
    assertFalse(returned.take(ACCOUNT, "r", 1_011 * MILLI), "taken");
    returned.expect(ACCOUNT, "r", 2_000 * MILLI);
    assertFalse(returned.take(ACCOUNT, "r", 2_201 * MILLI), "too late");
    assertEquals(0, returned.size());
  }

  @Test
  void expectedReturnsAreBoundedAndExpire() {
    for (int i = 0; i < 10_000; i++) {
      returned.expect(new AccountId("a" + i % 50), "r", i * 1_000L);
    }
    assertEquals(4_096, returned.size());
    returned.tick(300 * MILLI);
    assertEquals(0, returned.size());
  }

  @Test
  void sharesOfNewAndReturnedRequestsKeepTheSum() {
    for (int i = 0; i < 400; i++) {
      if (i % 4 == 0) {
        returned.expect(ACCOUNT, "r", i * MILLI);
      }
      returned.take(ACCOUNT, "r", i * MILLI);
    }
    double ofNew = returned.shareToRefuse(0.5, false);
    double ofReturned = returned.shareToRefuse(0.5, true);
    assertTrue(ofReturned < 0.5 && ofNew > 0.5);
    assertEquals(0.5, 0.75 * ofNew + 0.25 * ofReturned, 0.01);
    assertEquals(0, returned.shareToRefuse(0, false));
  }

  @Test
  void delaysAreWithinAThirdOfTheTimeLeftAndSpread() {
    RetryDelays delays = new RetryDelays(new SplittableRandom(1));
    Set<Long> seen = new HashSet<>();
    for (int i = 0; i < 1_000; i++) {
      long millis = delays.delayMillis(TimeUnit.SECONDS.toNanos(3), 5_000);
      assertTrue(millis >= 500 && millis < 1_000, "delay of " + millis + " ms");
      seen.add(millis / 50);
      assertTrue(delays.delayMillis(TimeUnit.SECONDS.toNanos(3), 400) <= 361);
    }
    assertEquals(9, seen.size());
    assertTrue(delays.delayMillis(1, 5_000) > 0);
  }
}
