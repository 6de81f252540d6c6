package org.pomelohollow.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Verdict;

/**
 * Checks the retries of 1,000 callers that are refused in the second after a loss of all hosts,
 * while targets are back within 0.5 to 1.5 s. Without a delay all of them would retry at once, and
 * be refused for good.
 */
class OutageRetryDelayTest {
  private static final int CALLERS = 1_000;

  /** Time after which all targets of a service are known again. */
  private static final long OUTAGE_MILLIS = 1_000;

  @Example
  void mostRetriesComeAfterTheOutageAndSpreadOverASecond() {
    List<Long> retriesMillis = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      long refusedMillis = OUTAGE_MILLIS * i / CALLERS;
      retriesMillis.add(refusedMillis + retryAfterMillis("r" + i, ErrorCode.NO_TARGET));
    }
    long served = retriesMillis.stream().filter(t -> t >= OUTAGE_MILLIS).count();
    assertTrue(served >= 0.85 * CALLERS, () -> served + " retries after the outage");
    for (long start = 0; start < 3_000; start += 100) {
      long from = start;
      long inSlice = retriesMillis.stream().filter(t -> t >= from && t < from + 100).count();
      assertTrue(inSlice <= 0.15 * CALLERS, () -> inSlice + " retries from " + from + " ms on");
    }
  }

  @Example
  void aRefusalThatIsNoOutageOrHasADelayIsLeftAsItIs() {
    assertEquals(0, retryAfterMillis("r", ErrorCode.KEY_REJECTED));
    assertEquals(0, retryAfterMillis("r", ErrorCode.DEADLINE_EXCEEDED));
    Verdict v = new Verdict.NotRun(ErrorCode.NO_TARGET, 7);
    assertEquals(v, OutageRetryDelay.addTo(v, "r"));
  }

  @Example
  void theCallerOfARefusedRequestGetsTheDelay() {
    List<Verdict> refusals = new ArrayList<>();
    RequestHead h =
        new RequestHead(
            "r",
            "GET",
            "/",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            0,
            Optional.empty());
    new Exchange(h, 0, refusals::add).refuse(ErrorCode.NO_CONFIGURATION);
    assertTrue(((Verdict.NotRun) refusals.get(0)).retryAfterMillis() >= 500);
  }

  private static long retryAfterMillis(String requestId, ErrorCode code) {
    return ((Verdict.NotRun) OutageRetryDelay.addTo(new Verdict.NotRun(code), requestId))
        .retryAfterMillis();
  }
}
