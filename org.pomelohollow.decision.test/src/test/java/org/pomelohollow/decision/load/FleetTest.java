package org.pomelohollow.decision.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import net.jqwik.api.Example;

/** Measures three targets under overload and faults against the aims. */
class FleetTest {
  private static final int TARGETS = 3;
  private static final int SLOTS = 35;
  private static final int COLD_SLOTS = 4;
  private static final double WORK_MILLIS = 20;
  private static final double CAPACITY = TARGETS * SLOTS / (WORK_MILLIS / 1e3 + 0.00025);
  private static final int FROM = 10;
  private static final int TO = 30;
  private static final int END = 40;

  @Example
  void tripleDemandKeepsGoodputAndImportantRequests() {
    LoadSimulation m = fleet();
    TrafficSource[] s = mix(3);
    Map<TrafficSource, SourceStats> t = m.run(20, s);
    double goodput = goodput(t, 5, 20) / CAPACITY;
    double high = t.get(s[0]).successShare(5, 20);
    print(String.format("3x demand: goodput %.3f high %.4f", goodput, high));
    assertTrue(goodput >= 0.95, () -> "goodput " + goodput);
    assertTrue(high >= 0.999, () -> "high " + high);
  }

  @Example
  void anAccountAtTenTimesItsRateTakesNothingFromAnother() {
    double alone = share(TrafficSource.steady("fair", 1, "s", CAPACITY * 0.3, WORK_MILLIS));
    double beside =
        share(
            TrafficSource.steady("fair", 1, "s", CAPACITY * 0.3, WORK_MILLIS),
            TrafficSource.steady("greedy", 1, "s", CAPACITY * 3, WORK_MILLIS));
    print(String.format("10x rate: beside/alone %.3f", beside / alone));
    assertTrue(beside >= 0.95 * alone, () -> beside + " of " + alone);
  }

  @Example
  void anAccountWithTenTimesSlowerRequestsTakesNothingFromAnother() {
    double alone = share(TrafficSource.steady("fair", 1, "s", CAPACITY * 0.3, WORK_MILLIS));
    double beside =
        share(
            TrafficSource.steady("fair", 1, "s", CAPACITY * 0.3, WORK_MILLIS),
            TrafficSource.steady("slow", 1, "s", CAPACITY * 0.3, WORK_MILLIS * 10));
    print(String.format("10x slow: beside/alone %.3f", beside / alone));
    assertTrue(beside >= 0.95 * alone, () -> beside + " of " + alone);
  }

  @Example
  void goodputReturnsAfterASlowPhase() {
    LoadSimulation m = fleet();
    m.schedule(FROM, () -> m.daemons().forEach(d -> d.target().setSlowness(5)));
    m.schedule(TO, () -> m.daemons().forEach(d -> d.target().setSlowness(1)));
    assertRecovers("slow phase", m, TO, mix(0.9));
  }

  @Example
  void goodputReturnsAfterADemandSurge() {
    assertRecovers("surge", fleet(), TO, surge(mix(0.9)));
  }

  @Example
  void goodputReturnsAfterARetryStorm() {
    TrafficSource[] s = surge(mix(0.9));
    for (int i = 0; i < s.length; i++) {
      s[i] = s[i].withResends(10);
    }
    assertRecovers("retry storm", fleet(), TO, s);
  }

  @Example
  void goodputReturnsAfterATargetIsLost() {
    LoadSimulation m = fleet();
    m.schedule(FROM, () -> m.daemons().get(0).failHost());
    m.schedule(
        TO,
        () -> {
          m.daemons().get(0).target().startCold(COLD_SLOTS, 8);
          m.daemons().get(0).recoverHost();
        });
    assertRecovers("target lost", m, TO, mix(0.9));
    assertEquals(0, m.daemons().get(0).target().overAdmitted());
  }

  @Example
  void goodputReturnsAfterAllTurnColdUnannounced() {
    LoadSimulation m = fleet();
    m.schedule(
        FROM,
        () ->
            m.daemons()
                .forEach(
                    d -> {
                      d.target().startCold(COLD_SLOTS, 8);
                      d.restart(false);
                    }));
    assertRecovers("all cold", m, FROM, mix(0.9));
    m.daemons().forEach(d -> assertEquals(0, d.target().overAdmitted()));
  }

  @Example
  void goodputReturnsAfterAllTurnColdAnnounced() {
    LoadSimulation m = fleet();
    m.schedule(
        FROM,
        () ->
            m.daemons()
                .forEach(
                    d -> {
                      d.target().startCold(COLD_SLOTS, 1_000_000);
                      d.restart(true);
                    }));
    m.schedule(TO, () -> m.daemons().forEach(SimulatedDaemon::endColdStart));
    assertRecovers("all cold, announced", m, TO, mix(0.9));
    m.daemons().forEach(d -> assertEquals(0, d.target().overAdmitted()));
  }

  @Example
  void aZoneLeavesAndReturnsWithoutOverloadingTheOthers() {
    LoadSimulation m = fleet();
    int[] started = new int[2];
    m.schedule(FROM, () -> m.setZone("z0", false).publish());
    m.schedule(FROM + 3, () -> started[0] = m.daemons().get(0).started());
    m.schedule(TO, () -> started[1] = m.daemons().get(0).started());
    m.schedule(TO, () -> m.setZone("z0", true).publish());
    assertRecovers("zone out", m, TO, mix(0.6));
    assertEquals(started[0], started[1]);
  }

  @Example
  void aSlowDependencyDoesNotShrinkTheLimitAboveIt() {
    LoadSimulation m = fleet().addService("deep", TARGETS, SLOTS * 4, SLOTS * 4, COLD_SLOTS, 0.5);
    m.addChildCall("high", "deep", WORK_MILLIS);
    m.schedule(FROM, () -> m.daemons().stream().skip(3).forEach(d -> d.target().setSlowness(8)));
    m.schedule(TO, () -> m.daemons().stream().skip(3).forEach(d -> d.target().setSlowness(1)));
    assertRecovers(
        "deep slow", m, TO, TrafficSource.steady("high", 0, "s", CAPACITY * 0.4, WORK_MILLIS));
  }

  private static void assertRecovers(String name, LoadSimulation m, int ended, TrafficSource... s) {
    Map<TrafficSource, SourceStats> t = m.run(END, s);
    double before = goodput(t, 4, FROM);
    int second = ended;
    while (second < END && goodput(t, second, second + 1) < 0.95 * before) {
      second++;
    }
    int recovered = second - ended;
    print(
        String.format(
            "%s: before %.3f during %.3f high before %.4f during %.4f after %.4f, back within %d s,"
                + " wasted %.3f",
            name,
            before / CAPACITY,
            goodput(t, FROM, TO) / CAPACITY,
            t.get(s[0]).successShare(4, FROM),
            t.get(s[0]).successShare(FROM, TO),
            t.get(s[0]).successShare(TO + 5, END),
            recovered + 1,
            m.wastedShare()));
    assertTrue(before > 0.3 * CAPACITY, "no load before");
    assertTrue(recovered < 5, () -> "not back after " + recovered + " s");
    assertTrue(goodput(t, END - 4, END) >= 0.95 * before, "not back to stay");
  }

  private static double share(TrafficSource... s) {
    return fleet().run(15, s).get(s[0]).successShare(5, 15);
  }

  private static LoadSimulation fleet() {
    return new LoadSimulation(1).addService("s", TARGETS, SLOTS, SLOTS, COLD_SLOTS, 0.5);
  }

  /** Returns sources of each priority whose demand together is a multiple of the capacity. */
  private static TrafficSource[] mix(double demand) {
    return new TrafficSource[] {
      TrafficSource.steady("high", 0, "s", CAPACITY * demand * 0.3, WORK_MILLIS),
      TrafficSource.steady("normal", 1, "s", CAPACITY * demand * 0.4, WORK_MILLIS),
      TrafficSource.steady("low", 2, "s", CAPACITY * demand * 0.3, WORK_MILLIS)
    };
  }

  private static TrafficSource[] surge(TrafficSource[] s) {
    TrafficSource[] out = new TrafficSource[s.length];
    for (int i = 0; i < s.length; i++) {
      double rate = s[i].requestsPerSecond().applyAsDouble(0);
      out[i] = s[i].withRate(t -> t >= FROM && t < TO ? rate * 3 : rate);
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
