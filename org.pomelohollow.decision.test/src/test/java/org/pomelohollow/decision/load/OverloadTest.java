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

/** Compares limit algorithms on the same loads. */
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
      for (double factor : new double[] {1, 3, 0.5}) {
        for (double penalty : new double[] {0, 0.5}) {
          all.forEach((n, l) -> single(n, l, slots, factor, penalty));
        }
      }
    }
  }

  private static void single(
      String name, Supplier<LimitAlgorithm> l, int trueSlots, double factor, double penalty) {
    int announced = (int) Math.ceil(trueSlots * factor);
    int usable = Math.min(announced, trueSlots);
    double capacity = usable / 0.02025;
    LoadSimulation m =
        new LoadSimulation(1, l).addService("s", 1, announced, trueSlots, 4, penalty);
    TrafficSource s = TrafficSource.steady("r", 1, "s", capacity * 3, 20);
    m.schedule(20, () -> m.daemons().get(0).target().setSlowness(5));
    m.schedule(30, () -> m.daemons().get(0).target().setSlowness(1));
    SourceStats t = m.run(SECONDS, s).get(s);
    System.out.printf(
        "%-13s slots %3d of %3d penalty %.1f: goodput %.3f slow %.3f after %.3f %.3f p50 %.0f p99"
            + " %.0f limit %d%n",
        name,
        announced,
        trueSlots,
        penalty,
        t.goodput(10, 20) / capacity,
        t.goodput(21, 30) / capacity * 5,
        t.goodput(31, 32) / capacity,
        t.goodput(35, 40) / capacity,
        t.latencyQuantileMillis(0.5),
        t.latencyQuantileMillis(0.99),
        m.daemons().get(0).admission().load().limit());
    assertTrue(t.goodput(0, 20) > 0);
  }
}
