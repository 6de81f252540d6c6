package org.pomelohollow.daemon.internal.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LineBudgetTest {
  private static final int OFFERED_LINES = 1_000;

  @Test
  void linesBeyondTheBurstAreCountedAndTheBudgetRefills() {
    LineBudget b = new LineBudget();
    long written = 0;
    for (int i = 0; i < OFFERED_LINES; i++) {
      written += b.trySpend(0) ? 1 : 0;
    }
    assertEquals(OFFERED_LINES, written + b.takeDropped());
    assertEquals(0, b.takeDropped());
    assertTrue(b.trySpend(Duration.ofSeconds(1).toNanos()));
  }
}
