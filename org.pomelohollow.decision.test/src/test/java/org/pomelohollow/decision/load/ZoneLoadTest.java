package org.pomelohollow.decision.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.pomelohollow.decision.admission.FixedLimit;
import org.pomelohollow.decision.routing.ZonePolicy;
import org.pomelohollow.decision.routing.ZoneSpill;

/**
 * Compares callers' latency and success, the attempts across zones and the reversals with the
 * former rule, in two zones whose demand or capacity diverges.
 */
class ZoneLoadTest {
  private static final int TARGETS = 30;
  private static final int SLOTS = 20;
  private static final double WORK_MILLIS = 200;
  private static final double LINK_MILLIS = 1;

  /** Requests per second of one zone, whose jobs end 0.25 ms late on average. */
  private static final double ZONE_CAPACITY = TARGETS / 2.0 * SLOTS / (WORK_MILLIS / 1e3 + 0.00025);

  /** Mean length of a response, of which crossings carry one each. */
  private static final int RESPONSE_BYTES = 4_000;

  /** Two standard errors of the served share of about 60,000 requests near 0.95. */
  private static final double SERVED_TOLERANCE = 0.002;

  private static final double LATENCY_TOLERANCE = 1.03;
  private static final int DEMAND_END_SECOND = 40;
  private static final int END_SECOND = 46;

  /** Guards against crossings that a calm zone does not need. */
  @Example
  void aCalmZoneSendsNothingOutside() {
    assertEquals(0, run(ZoneLoadTest::spill, t -> 0.6, t -> 0.3, s -> {}).outside());
  }

  /** Guards against a share that lags behind demand, and against swings between the zones. */
  @Example
  void demandThatSwingsBetweenZonesIsServedWithFewerCrossings() {
    compare(
        "swing",
        0.5,
        t -> 0.75 * (1 + 0.55 * Math.sin(2 * Math.PI * t / 20)),
        t -> 0.75 * (1 + 0.55 * Math.sin(2 * Math.PI * (t / 20 - 0.35))),
        s -> {});
  }

  /** Guards against a zone that sends out more, or less, than what its targets cannot run. */
  @Example
  void aZoneThatLosesHalfOfItsTargetsSendsOutOnlyWhatDoesNotFit() {
    double demand = 0.8;
    Outcome o =
        compare("half lost", 0.6, t -> demand, t -> 0.5, s -> s.schedule(10, () -> failHalf(s)));
    double excess = 1 - (7 / 15.0) / demand;
    assertTrue(
        o.shareOutside() > excess && o.shareOutside() < excess + 0.15,
        () -> o.shareOutside() + " for " + excess);
  }

  /** Guards against requests that are lost because they are sent over a broken link. */
  @Example
  void aPartitionBetweenZonesLeavesRequestsAtHome() {
    compare(
        "partition, failing",
        0.6,
        t -> 1.2,
        t -> 0.5,
        s -> {
          s.schedule(10, () -> s.links().setBroken(true));
          s.schedule(22, () -> s.links().setBroken(false));
        });
  }

  /** Guards against requests that pay for a slow link. */
  @Example
  void aSlowLinkBetweenZonesCostsLittle() {
    compare(
        "partition, slow",
        0.6,
        t -> 1.2,
        t -> 0.5,
        s -> {
          s.schedule(10, () -> s.links().setDelayMillis(300));
          s.schedule(22, () -> s.links().setDelayMillis(LINK_MILLIS));
        });
  }

  /** Guards against a returning zone that is flooded, or not used again. */
  @Example
  void aZoneThatReturnsToServiceIsUsedAgain() {
    compare(
        "return",
        0.6,
        t -> 0.9,
        t -> 0.6,
        s -> {
          s.schedule(10, () -> s.setZone("z1", false).publishConfiguration());
          s.schedule(20, () -> s.setZone("z1", true).publishConfiguration());
        });
  }

  /** Guards against zones that exchange requests although neither has room. */
  @Example
  void requestsStayAtHomeWhenBothZonesAreOverloaded() {
    compare("both overloaded", 0.3, t -> 1.4, t -> 1.3, s -> {});
  }

  /** Guards against crossings that follow from the noise of latencies only. */
  @Example
  void targetsOfDifferentSpeedsNeedFewCrossings() {
    compare("speeds", 0.1, t -> 0.9, t -> 0.6, ZoneLoadTest::spreadSpeeds);
  }

  private static void failHalf(LoadSimulation s) {
    for (int i = 0; i < TARGETS; i += 4) {
      s.daemons().get(i).failHost();
    }
  }

  /** Spreads the speeds of the targets evenly from 0.7 to 1.7 in both zones. */
  private static void spreadSpeeds(LoadSimulation s) {
    for (int i = 0; i < TARGETS; i++) {
      s.daemons().get(i).target().setSlowdown(1 / (0.7 + (i - i % 2) / (TARGETS - 2.0)));
    }
  }

  /**
   * Runs a load by both rules, and checks that callers get no less and that at most a share of the
   * former crossings is left.
   */
  private static Outcome compare(
      String name,
      double maxOutside,
      DoubleUnaryOperator first,
      DoubleUnaryOperator second,
      Consumer<LoadSimulation> faults) {
    Outcome former = run(r -> new FormerZonePolicy(), first, second, faults);
    Outcome now = run(ZoneLoadTest::spill, first, second, faults);
    String figures = String.format("%s: former %s, now %s", name, former, now);
    if (Boolean.getBoolean("pomelohollow.measure")) {
      System.out.println(figures);
    }
    assertTrue(now.served() >= former.served() - SERVED_TOLERANCE, figures);
    assertTrue(now.p99Millis() <= former.p99Millis() * LATENCY_TOLERANCE, figures);
    assertTrue(now.outside() <= former.outside() * maxOutside, figures);
    assertTrue(now.reversals() <= former.reversals(), figures);
    return now;
  }

  private static ZonePolicy spill(SplittableRandom r) {
    return new ZoneSpill(r, e -> {});
  }

  private static Outcome run(
      Function<SplittableRandom, ZonePolicy> policy,
      DoubleUnaryOperator firstLoad,
      DoubleUnaryOperator secondLoad,
      Consumer<LoadSimulation> faults) {
    LoadSimulation sim =
        new LoadSimulation(1, FixedLimit::new)
            .setZones(2)
            .setZonePolicy(policy)
            .addService("s", TARGETS, SLOTS, SLOTS, SLOTS, 0);
    sim.links().setDelayMillis(LINK_MILLIS);
    TrafficSource a = source("a", firstLoad);
    TrafficSource b = source("b", secondLoad);
    sim.setEntryZone(a, "z0").setEntryZone(b, "z1");
    faults.accept(sim);
    Map<TrafficSource, SourceStats> stats = sim.run(END_SECOND, a, b);
    double served = 0;
    double offered = 0;
    for (SourceStats x : List.of(stats.get(a), stats.get(b))) {
      double goodput = x.goodput(0, END_SECOND);
      served += goodput;
      offered += goodput / x.successShare(0, END_SECOND);
    }
    return new Outcome(
        served / offered,
        stats.get(a).latencyQuantileMillis(0.5),
        Math.max(
            stats.get(a).latencyQuantileMillis(0.99), stats.get(b).latencyQuantileMillis(0.99)),
        sim.links().attemptsOutside(),
        sim.links().shareOutside("z0", 15, DEMAND_END_SECOND),
        sim.links().reversals("z0") + sim.links().reversals("z1"));
  }

  private static TrafficSource source(String name, DoubleUnaryOperator load) {
    return new TrafficSource(
        name,
        name,
        1,
        false,
        "s",
        t -> t < DEMAND_END_SECOND ? ZONE_CAPACITY * load.applyAsDouble(t) : 0,
        WORK_MILLIS,
        5_000,
        0);
  }

  /** What callers got, and what crossed between the zones. */
  private record Outcome(
      double served,
      double p50Millis,
      double p99Millis,
      int outside,
      double shareOutside,
      int reversals) {
    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "served %.4f p50 %.0f ms p99 %.0f ms outside %d (%.0f MB) reversals %d",
          served,
          p50Millis,
          p99Millis,
          outside,
          outside * RESPONSE_BYTES / 1e6,
          reversals);
    }
  }
}
