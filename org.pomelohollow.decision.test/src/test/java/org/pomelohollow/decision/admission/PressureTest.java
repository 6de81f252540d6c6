package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PressureTest {
  private static final long STEP = 20_000_000L;
  private static final int LIMIT = 16;

  private final Pressure pressure = new Pressure(4);
  private long now;

  @Test
  void aTargetWithRoomPressesOnNobody() {
    hold(12, 5);
    assertEquals(0, pressure.value());
  }

  @Test
  void workThatWaitsRaisesThePressureWithinASecond() {
    hold(2 * LIMIT, 1);
    assertTrue(pressure.value() > 0.5, "pressure " + pressure.value());
  }

  @Test
  void idleSlotsLowerItAgain() {
    hold(2 * LIMIT, 2);
    hold(LIMIT / 2, 8);
    assertEquals(0, pressure.value());
  }

  /** Root requests that each make ten calls to one full service, refused at the entry. */
  @Test
  void demandThatIsRefusedAboveKeepsTheServiceFullAndWastesLittle() {
    for (double demand : new double[] {1.2, 1.7, 2.3}) {
      DeepLoad l = new DeepLoad(demand, true).play(30);
      assertTrue(l.usedShare() >= 0.85, demand + " times: used " + l.usedShare());
      assertTrue(l.wastedShare() <= 0.15, demand + " times: wasted " + l.wastedShare());
    }
  }

  @Test
  void withoutPressureMostOfTheWorkIsWasted() {
    DeepLoad l = new DeepLoad(2.3, false).play(30);
    assertTrue(l.wastedShare() >= 0.4, "wasted " + l.wastedShare());
  }

  private void hold(int work, int seconds) {
    for (int i = 0; i < seconds * 50; i++) {
      now += STEP;
      pressure.elapse(work, LIMIT, now);
    }
  }
}
