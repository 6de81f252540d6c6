package org.pomelohollow.decision.load;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import net.jqwik.api.Example;
import org.pomelohollow.decision.admission.FixedLimit;

/**
 * Checks that 60 targets with slow routes serve callers from the first seconds on where the
 * operator does not limit cold targets: a limit that rises with completed requests only would hold
 * them at a few slots.
 */
class UnlimitedColdStartTest {
  private static final int TARGETS = 60;
  private static final int SLOTS = 20;
  private static final double SHORT_WORK_MILLIS = 200;
  private static final double LONG_WORK_MILLIS = 800;
  private static final long TIMEOUT_MILLIS = 5_000;

  /** Requests per second of each source; both together use 0.6 of the slots. */
  private static final double RATE_PER_SECOND =
      0.6 * TARGETS * SLOTS / ((SHORT_WORK_MILLIS + LONG_WORK_MILLIS) / 1e3);

  /** A target takes twice as long in the three seconds after its start. */
  private static final double COLD_SLOWDOWN = 2;

  private static final int COLD_SECONDS = 3;
  private static final int EVENT_SECOND = 5;
  private static final int DEMAND_END_SECOND = 10;

  /** By then, every request has ended. */
  private static final int END_SECOND = 16;

  private final LoadSimulation sim =
      new LoadSimulation(1, FixedLimit::new).addService("s", TARGETS, SLOTS, SLOTS, SLOTS, 0);
  private final TrafficSource shortWork = source("short", SHORT_WORK_MILLIS);
  private final TrafficSource longWork = source("long", LONG_WORK_MILLIS);

  @Example
  void callersAreServedFromTheFirstSecondAfterTheStartOfTheFleet() {
    assertServed(0, 0.99, sim.run(END_SECOND, shortWork, longWork));
  }

  @Example
  void aRestartOfOneDaemonBesideAWarmTargetLosesOnlyWhatRanThere() {
    sim.schedule(EVENT_SECOND, () -> sim.daemons().get(0).restartDaemon());
    assertServed(0, 0.99, sim.run(END_SECOND, shortWork, longWork));
  }

  @Example
  void callersAreServedSoonAfterAllTargetsRestartCold() {
    sim.schedule(EVENT_SECOND, () -> sim.daemons().forEach(this::restartCold));
    sim.schedule(
        EVENT_SECOND + COLD_SECONDS,
        () ->
            sim.daemons()
                .forEach(
                    d -> {
                      d.target().setSlowdown(1);
                      d.endColdStart();
                    }));
    // Twice the time at 0.6 of the slots asks for 1.2 of them, so one in six finds no room.
    assertServed(EVENT_SECOND, 0.8, sim.run(END_SECOND, shortWork, longWork));
  }

  private void restartCold(SimulatedDaemon d) {
    d.target().setSlowdown(COLD_SLOWDOWN);
    d.restart(true);
  }

  private void assertServed(
      int fromSecond, double minShare, Map<TrafficSource, SourceStats> stats) {
    stats.forEach(
        (source, s) -> {
          double share = s.successShare(fromSecond, END_SECOND);
          assertTrue(share >= minShare, () -> source.name() + ": " + share);
        });
  }

  private static TrafficSource source(String name, double workMillis) {
    return new TrafficSource(
        name,
        name,
        1,
        false,
        "s",
        t -> t < DEMAND_END_SECOND ? RATE_PER_SECOND : 0,
        workMillis,
        TIMEOUT_MILLIS,
        0);
  }
}
