package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.TargetLoad;

class CallGraphTest {
  private static final TargetLoad LOADED = new TargetLoad(1, 1, 0, Priority.NONE_SHED, 0.7);

  private final CallGraph graph = new CallGraph();
  private final SplittableRandom random = new SplittableRandom(3);

  @Test
  void pressureReachesTheRoutesThatCallAndSparesTheOthers() {
    for (int i = 0; i < 600; i++) {
      graph.started("plain");
      graph.started("caller");
      if (random.nextBoolean()) {
        graph.started("plain");
        graph.ended("plain");
      }
      graph.called("below");
      graph.called("below");
      graph.ended("caller");
      if (random.nextBoolean()) {
        graph.ended("plain");
        graph.started("plain");
      }
      graph.ended("plain");
    }
    graph.heard("below", LOADED, 0);
    assertEquals(0.7, graph.pressure("caller", 1), 1e-9);
    assertTrue(graph.pressure("plain", 1) <= 0.7);
  }

  @Test
  void aRouteThatRunsAloneWithoutCallsLosesItsCredit() {
    for (int i = 0; i < 50; i++) {
      graph.started("caller");
      graph.started("plain");
      graph.called("below");
      graph.ended("caller");
      graph.ended("plain");
    }
    for (int i = 0; i < 400; i++) {
      graph.started("plain");
      graph.ended("plain");
    }
    graph.heard("below", LOADED, 0);
    assertEquals(0, graph.pressure("plain", 1), 1e-9);
    assertEquals(0.7, graph.pressure("caller", 1), 1e-9);
  }

  @Test
  void oldReportsCountForNothing() {
    graph.started("caller");
    graph.called("below");
    graph.heard("below", LOADED, 0);
    assertEquals(0, graph.pressure("caller", 3_000_000_000L), 1e-9);
  }
}
