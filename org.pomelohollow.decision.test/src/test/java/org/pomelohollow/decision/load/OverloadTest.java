package org.pomelohollow.decision.load;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import net.jqwik.api.Example;
import org.junit.jupiter.api.Assumptions;
import org.pomelohollow.decision.admission.AimdLimit;
import org.pomelohollow.decision.admission.DelayTargetLimit;
import org.pomelohollow.decision.admission.GradientLimit;
import org.pomelohollow.decision.admission.LimitAlgorithm;
import org.pomelohollow.decision.admission.ThroughputLimit;

/** Compares limit algorithms under the same loads; prints a table and runs only on request. */
class OverloadTest {
  private static final int SECONDS = 40;

  @Example
  void compareLimits() {
    Assumptions.assumeTrue(Boolean.getBoolean("pomelohollow.measure"));
    Map<String, Supplier<LimitAlgorithm>> all = new TreeMap<>();
    all.put("aimd", AimdLimit::new);
    all.put("delay target", DelayTargetLimit::new);
    all.put("gradient", GradientLimit::new);
    all.put("throughput", ThroughputLimit::new);
    for (int slots : new int[] {15, 35}) {
      for (double announcedPerTrueSlot : new double[] {1, 3, 0.5}) {
        for (double overloadPenalty : new double[] {0, 0.5}) {
          all.forEach(
              (n, l) -> measureOneTarget(n, l, slots, announcedPerTrueSlot, overloadPenalty));
        }
      }
    }
  }

  private static void measureOneTarget(
      String name,
      Supplier<LimitAlgorithm> l,
      int trueSlots,
      double announcedPerTrueSlot,
      double overloadPenalty) {
    int announcedSlots = (int) Math.ceil(trueSlots * announcedPerTrueSlot);
    int usableSlots = Math.min(announcedSlots, trueSlots);
    // Mean work of 20 ms; jobs end at steps of 0.5 ms, so on average 0.25 ms late.
    double capacityPerSecond = usableSlots / 0.02025;
    LoadSimulation sim =
        new LoadSimulation(1, l).addService("s", 1, announcedSlots, trueSlots, 4, overloadPenalty);
    TrafficSource s = TrafficSource.steady("r", 1, "s", capacityPerSecond * 3, 20);
    sim.schedule(20, () -> sim.daemons().get(0).target().setSlowdown(5));
    sim.schedule(30, () -> sim.daemons().get(0).target().setSlowdown(1));
    SourceStats t = sim.run(SECONDS, s).get(s);
    System.out.printf(
        "%-13s slots %3d of %3d penalty %.1f: goodput %.3f slow %.3f after %.3f %.3f p50 %.0f p99"
            + " %.0f limit %d%n",
        name,
        announcedSlots,
        trueSlots,
        overloadPenalty,
        t.goodput(10, 20) / capacityPerSecond,
        t.goodput(21, 30) / capacityPerSecond * 5,
        t.goodput(31, 32) / capacityPerSecond,
        t.goodput(35, 40) / capacityPerSecond,
        t.latencyQuantileMillis(0.5),
        t.latencyQuantileMillis(0.99),
        sim.daemons().get(0).admission().load().limit());
    assertTrue(t.goodput(0, 20) > 0);
  }
}
