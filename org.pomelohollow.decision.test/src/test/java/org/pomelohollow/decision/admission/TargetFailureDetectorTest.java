package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Checks that a target that fails callers is told apart from one with the usual rare failures. */
class TargetFailureDetectorTest {
  private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final TargetFailureDetector detector = new TargetFailureDetector();
  private final SplittableRandom random = new SplittableRandom(1);
  private long now;

  @Example
  void aTargetThatFailsAThirdOfItsRequestsIsFoundWithinSeconds() {
    run(0.004, 5);
    assertFalse(detector.isFailing(now));
    double second = run(0.33, 5);
    assertTrue(second < 1, () -> "found after " + second + " s");
  }

  @Example
  void rareFailuresAreNoReasonToAvoidATarget() {
    assertTrue(run(0.06, 60) >= 60, "avoided at six failures in a hundred requests");
  }

  @Example
  void aTargetThatStaysFailingIsTriedLessAndLessOften() {
    int failed = 0;
    long end = now + TimeUnit.SECONDS.toNanos(20);
    while (now < end) {
      now += REQUEST_INTERVAL_NANOS;
      if (!detector.isFailing(now)) {
        detector.recordEnd(true, now);
        failed++;
      }
    }
    int failures = failed;
    assertTrue(failures <= 5 * 8, () -> failures + " failures in 20 s");
  }

  @Example
  void aRecoveredTargetIsInUseAgainAfterASecond() {
    detector.recordStall(now);
    assertTrue(detector.isFailing(now));
    now += TimeUnit.SECONDS.toNanos(1);
    assertFalse(detector.isFailing(now));
    assertTrue(run(0, 10) >= 10, "avoided without a failure");
  }

  @Example
  void anotherIncarnationStartsWithoutAHistory() {
    detector.recordStall(now);
    detector.reset();
    assertFalse(detector.isFailing(now));
  }

  /**
   * Returns the second in which the target counted as failing, at least {@code seconds} if never.
   */
  private double run(double failureShare, int seconds) {
    long start = now;
    long end = now + TimeUnit.SECONDS.toNanos(seconds);
    while (now < end) {
      now += REQUEST_INTERVAL_NANOS;
      detector.recordEnd(random.nextDouble() < failureShare, now);
      if (detector.isFailing(now)) {
        break;
      }
    }
    return (now - start) / 1e9 + (detector.isFailing(now) ? 0 : 1e-9);
  }
}
