package org.pomelohollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoopDelayTest {
  @Test
  void onlyTheTimeBeyondThePeriodIsADelay() {
    List<Long> delays = new ArrayList<>();
    LoopDelay d = new LoopDelay(Duration.ofMillis(50), 0, delays::add);
    d.taskRuns(millis(50));
    d.taskRuns(millis(90));
    d.taskRuns(millis(440));
    assertEquals(List.of(0L, 0L, millis(300)), delays);
  }

  private static long millis(long n) {
    return Duration.ofMillis(n).toNanos();
  }
}
