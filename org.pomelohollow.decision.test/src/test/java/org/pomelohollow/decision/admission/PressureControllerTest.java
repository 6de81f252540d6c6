package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PressureControllerTest {
  private static final long STEP_NANOS = 20_000_000L;
  private static final int LIMIT = 16;

  private final PressureController pressure = new PressureController(4);
  private long nowNanos;

  @Test
  void idleSlotsCauseNoPressure() {
    holdLoad(12, 5);
    assertEquals(0, pressure.value());
  }

  @Test
  void queuedRequestsRaiseThePressureWithinASecond() {
    holdLoad(2 * LIMIT, 1);
    assertTrue(pressure.value() > 0.5, "pressure " + pressure.value());
  }

  @Test
  void idleSlotsLowerThePressureToZero() {
    holdLoad(2 * LIMIT, 2);
    holdLoad(LIMIT / 2, 8);
    assertEquals(0, pressure.value());
  }

  /** Root requests that each make ten calls to one overloaded service are refused early. */
  @Test
  void earlyRefusalKeepsTheServiceBusyAndWastesLittle() {
    for (double demand : new double[] {1.2, 1.7, 2.3}) {
      CallTreeSimulation simulation = new CallTreeSimulation(demand, true).run(30);
      assertTrue(
          simulation.usedShare() >= 0.85,
          demand + " times the capacity: used share " + simulation.usedShare());
      assertTrue(
          simulation.wastedShare() <= 0.15,
          demand + " times the capacity: wasted share " + simulation.wastedShare());
    }
  }

  @Test
  void withoutPressureMuchOfTheWorkIsWasted() {
    CallTreeSimulation simulation = new CallTreeSimulation(2.3, false).run(30);
    assertTrue(simulation.wastedShare() >= 0.4, "wasted share " + simulation.wastedShare());
  }

  private void holdLoad(int requests, int seconds) {
    for (int i = 0; i < seconds * 50; i++) {
      nowNanos += STEP_NANOS;
      pressure.update(requests, LIMIT, nowNanos);
    }
  }
}
