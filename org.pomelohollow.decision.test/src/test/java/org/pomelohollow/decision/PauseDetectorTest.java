package org.pomelohollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class PauseDetectorTest {
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final PauseDetector detector = new PauseDetector();

  @Test
  void aGapOfTheMonotonicClockIsAPause() {
    assertEquals(OptionalLong.empty(), detector.check(SECOND_NANOS, 1_000));
    assertEquals(OptionalLong.empty(), detector.check(SECOND_NANOS * 3 / 2, 1_500));
    assertEquals(OptionalLong.of(SECOND_NANOS * 2), detector.check(SECOND_NANOS * 7 / 2, 1_500));
  }

  /** The monotonic clock of a suspended host stands still. */
  @Test
  void aGapOfTheTimeOfDayAloneIsAPause() {
    detector.check(SECOND_NANOS, 1_000);
    assertEquals(OptionalLong.of(SECOND_NANOS * 4), detector.check(SECOND_NANOS, 5_000));
    assertEquals(OptionalLong.empty(), detector.check(SECOND_NANOS, 5_000));
  }

  @Test
  void aTimeOfDayThatGoesBackIsNoPause() {
    detector.check(SECOND_NANOS, 9_000);
    assertEquals(OptionalLong.empty(), detector.check(SECOND_NANOS, 1_000));
  }
}
