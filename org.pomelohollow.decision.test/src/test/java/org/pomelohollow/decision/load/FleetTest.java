package org.pomelohollow.decision.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import net.jqwik.api.Example;

/** Checks the goodput and success of three targets under overload and faults. */
class FleetTest {
  private static final int TARGETS = 3;
  private static final int SLOTS = 35;
  private static final int COLD_SLOTS = 4;
  private static final double MEAN_WORK_MILLIS = 20;

  /** Requests per second. Jobs end at steps of 0.5 ms, so on average 0.25 ms late. */
  private static final double CAPACITY_PER_SECOND =
      TARGETS * SLOTS / (MEAN_WORK_MILLIS / 1e3 + 0.00025);

  private static final int FAULT_START_SECOND = 10;
  private static final int FAULT_END_SECOND = 30;
  private static final int END_SECOND = 40;

  @Example
  void tripleDemandKeepsGoodputAndHighPriorityRequests() {
    LoadSimulation sim = threeTargets();
    TrafficSource[] s = sourcesOfAllPriorities(3);
    Map<TrafficSource, SourceStats> t = sim.run(20, s);
    double goodput = goodput(t, 5, 20) / CAPACITY_PER_SECOND;
    double highSuccess = t.get(s[0]).successShare(5, 20);
    print(String.format("3x demand: goodput %.3f high %.4f", goodput, highSuccess));
    assertTrue(goodput >= 0.95, () -> "goodput " + goodput);
    assertTrue(highSuccess >= 0.999, () -> "success of high priority " + highSuccess);
  }

  @Example
  void anAccountAtTenTimesItsRateDoesNotReduceTheSuccessOfAnother() {
    double successAlone =
        successOfFirst(
            TrafficSource.steady("fair", 1, "s", CAPACITY_PER_SECOND * 0.3, MEAN_WORK_MILLIS));
    double successWithOther =
        successOfFirst(
            TrafficSource.steady("fair", 1, "s", CAPACITY_PER_SECOND * 0.3, MEAN_WORK_MILLIS),
            TrafficSource.steady("greedy", 1, "s", CAPACITY_PER_SECOND * 3, MEAN_WORK_MILLIS));
    print(String.format("10x rate: beside/alone %.3f", successWithOther / successAlone));
    assertTrue(
        successWithOther >= 0.95 * successAlone, () -> successWithOther + " of " + successAlone);
  }

  @Example
  void anAccountWithTenTimesSlowerRequestsDoesNotReduceTheSuccessOfAnother() {
    double successAlone =
        successOfFirst(
            TrafficSource.steady("fair", 1, "s", CAPACITY_PER_SECOND * 0.3, MEAN_WORK_MILLIS));
    double successWithOther =
        successOfFirst(
            TrafficSource.steady("fair", 1, "s", CAPACITY_PER_SECOND * 0.3, MEAN_WORK_MILLIS),
            TrafficSource.steady("slow", 1, "s", CAPACITY_PER_SECOND * 0.3, MEAN_WORK_MILLIS * 10));
    print(String.format("10x slow: beside/alone %.3f", successWithOther / successAlone));
    assertTrue(
        successWithOther >= 0.95 * successAlone, () -> successWithOther + " of " + successAlone);
  }

  @Example
  void goodputRecoversAfterASlowPhase() {
    LoadSimulation sim = threeTargets();
    sim.schedule(FAULT_START_SECOND, () -> sim.daemons().forEach(d -> d.target().setSlowdown(5)));
    sim.schedule(FAULT_END_SECOND, () -> sim.daemons().forEach(d -> d.target().setSlowdown(1)));
    assertRecovers("slow phase", sim, FAULT_END_SECOND, sourcesOfAllPriorities(0.9));
  }

  @Example
  void goodputRecoversAfterADemandSurge() {
    assertRecovers(
        "surge", threeTargets(), FAULT_END_SECOND, withSurge(sourcesOfAllPriorities(0.9)));
  }

  @Example
  void goodputRecoversAfterARetryStorm() {
    TrafficSource[] s = withSurge(sourcesOfAllPriorities(0.9));
    for (int i = 0; i < s.length; i++) {
      s[i] = s[i].withResends(10);
    }
    assertRecovers("retry storm", threeTargets(), FAULT_END_SECOND, s);
  }

  @Example
  void goodputRecoversAfterAHostFailure() {
    LoadSimulation sim = threeTargets();
    sim.schedule(FAULT_START_SECOND, () -> sim.daemons().get(0).failHost());
    sim.schedule(
        FAULT_END_SECOND,
        () -> {
          sim.daemons().get(0).target().startCold(COLD_SLOTS, 8);
          sim.daemons().get(0).recoverHost();
        });
    assertRecovers("target lost", sim, FAULT_END_SECOND, sourcesOfAllPriorities(0.9));
    assertEquals(0, sim.daemons().get(0).target().overAdmitted());
  }

  @Example
  void goodputRecoversAfterAnUnannouncedColdStartOfAllTargets() {
    LoadSimulation sim = threeTargets();
    sim.schedule(
        FAULT_START_SECOND,
        () ->
            sim.daemons()
                .forEach(
                    d -> {
                      d.target().startCold(COLD_SLOTS, 8);
                      d.restart(false);
                    }));
    assertRecovers("all cold", sim, FAULT_START_SECOND, sourcesOfAllPriorities(0.9));
    sim.daemons().forEach(d -> assertEquals(0, d.target().overAdmitted()));
  }

  @Example
  void goodputRecoversAfterAnAnnouncedColdStartOfAllTargets() {
    LoadSimulation sim = threeTargets();
    sim.schedule(
        FAULT_START_SECOND,
        () ->
            sim.daemons()
                .forEach(
                    d -> {
                      d.target().startCold(COLD_SLOTS, 1_000_000);
                      d.restart(true);
                    }));
    sim.schedule(FAULT_END_SECOND, () -> sim.daemons().forEach(SimulatedDaemon::endColdStart));
    assertRecovers("all cold, announced", sim, FAULT_END_SECOND, sourcesOfAllPriorities(0.9));
    sim.daemons().forEach(d -> assertEquals(0, d.target().overAdmitted()));
  }

  @Example
  void anAvailabilityZoneOutOfServiceGetsNoRequestsAndGoodputRecovers() {
    LoadSimulation sim = threeTargets();
    int[] startedJobs = new int[2];
    sim.schedule(FAULT_START_SECOND, () -> sim.setZone("z0", false).publishConfiguration());
    sim.schedule(FAULT_START_SECOND + 3, () -> startedJobs[0] = sim.daemons().get(0).startedJobs());
    sim.schedule(FAULT_END_SECOND, () -> startedJobs[1] = sim.daemons().get(0).startedJobs());
    sim.schedule(FAULT_END_SECOND, () -> sim.setZone("z0", true).publishConfiguration());
    assertRecovers("zone out", sim, FAULT_END_SECOND, sourcesOfAllPriorities(0.6));
    assertEquals(startedJobs[0], startedJobs[1]);
  }

  /** Guards against lowering the limit of a target because a target that it calls is slow. */
  @Example
  void goodputRecoversAfterASlowDependency() {
    LoadSimulation sim =
        threeTargets().addService("deep", TARGETS, SLOTS * 4, SLOTS * 4, COLD_SLOTS, 0.5);
    sim.addChildCall("high", "deep", MEAN_WORK_MILLIS);
    sim.schedule(
        FAULT_START_SECOND,
        () -> sim.daemons().stream().skip(3).forEach(d -> d.target().setSlowdown(8)));
    sim.schedule(
        FAULT_END_SECOND,
        () -> sim.daemons().stream().skip(3).forEach(d -> d.target().setSlowdown(1)));
    assertRecovers(
        "deep slow",
        sim,
        FAULT_END_SECOND,
        TrafficSource.steady("high", 0, "s", CAPACITY_PER_SECOND * 0.4, MEAN_WORK_MILLIS));
  }

  /** Checks that the goodput returns to 95% within 5 s of the end of a fault, and stays there. */
  private static void assertRecovers(
      String name, LoadSimulation sim, int faultEndSecond, TrafficSource... s) {
    Map<TrafficSource, SourceStats> t = sim.run(END_SECOND, s);
    double before = goodput(t, 4, FAULT_START_SECOND);
    int second = faultEndSecond;
    while (second < END_SECOND && goodput(t, second, second + 1) < 0.95 * before) {
      second++;
    }
    int recoverySeconds = second - faultEndSecond;
    print(
        String.format(
            "%s: before %.3f during %.3f high before %.4f during %.4f after %.4f, back within %d s,"
                + " wasted %.3f",
            name,
            before / CAPACITY_PER_SECOND,
            goodput(t, FAULT_START_SECOND, FAULT_END_SECOND) / CAPACITY_PER_SECOND,
            t.get(s[0]).successShare(4, FAULT_START_SECOND),
            t.get(s[0]).successShare(FAULT_START_SECOND, FAULT_END_SECOND),
            t.get(s[0]).successShare(FAULT_END_SECOND + 5, END_SECOND),
            recoverySeconds + 1,
            sim.wastedShare()));
    assertTrue(before > 0.3 * CAPACITY_PER_SECOND, "goodput before the fault is too low");
    assertTrue(
        recoverySeconds < 5,
        () -> "goodput below 95% for " + recoverySeconds + " s after the fault");
    assertTrue(
        goodput(t, END_SECOND - 4, END_SECOND) >= 0.95 * before, "goodput does not stay recovered");
  }

  /** Returns the success share of the first source when all run together. */
  private static double successOfFirst(TrafficSource... s) {
    return threeTargets().run(15, s).get(s[0]).successShare(5, 15);
  }

  private static LoadSimulation threeTargets() {
    return new LoadSimulation(1).addService("s", TARGETS, SLOTS, SLOTS, COLD_SLOTS, 0.5);
  }

  /** Returns one source of each priority, whose total rate is a multiple of the capacity. */
  private static TrafficSource[] sourcesOfAllPriorities(double demand) {
    return new TrafficSource[] {
      TrafficSource.steady("high", 0, "s", CAPACITY_PER_SECOND * demand * 0.3, MEAN_WORK_MILLIS),
      TrafficSource.steady("normal", 1, "s", CAPACITY_PER_SECOND * demand * 0.4, MEAN_WORK_MILLIS),
      TrafficSource.steady("low", 2, "s", CAPACITY_PER_SECOND * demand * 0.3, MEAN_WORK_MILLIS)
    };
  }

  /** Returns the sources with three times their rate during the fault. */
  private static TrafficSource[] withSurge(TrafficSource[] s) {
    TrafficSource[] out = new TrafficSource[s.length];
    for (int i = 0; i < s.length; i++) {
      double rate = s[i].requestsPerSecond().applyAsDouble(0);
      out[i] =
          s[i].withRate(t -> t >= FAULT_START_SECOND && t < FAULT_END_SECOND ? rate * 3 : rate);
    }
    return out;
  }

  private static double goodput(Map<TrafficSource, SourceStats> t, int from, int to) {
    return t.values().stream().mapToDouble(x -> x.goodput(from, to)).sum();
  }

  private static void print(String line) {
    if (Boolean.getBoolean("pomelohollow.measure")) {
      System.out.println(line);
    }
  }
}
