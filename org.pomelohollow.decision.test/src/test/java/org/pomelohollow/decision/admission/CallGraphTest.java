package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.TargetLoad;

class CallGraphTest {
  private static final TargetLoad OVERLOADED = new TargetLoad(1, 1, 0, Priority.NONE_SHED, 0.7);

  private final CallGraph graph = new CallGraph();
  private final SplittableRandom random = new SplittableRandom(3);

  @Test
  void pressureIsReportedForTheRoutesThatMakeTheCall() {
    for (int i = 0; i < 600; i++) {
      graph.recordStart("plain");
      graph.recordStart("caller");
      if (random.nextBoolean()) {
        graph.recordStart("plain");
        graph.recordEnd("plain");
      }
      graph.recordCall("below");
      graph.recordCall("below");
      graph.recordEnd("caller");
      if (random.nextBoolean()) {
        graph.recordEnd("plain");
        graph.recordStart("plain");
      }
      graph.recordEnd("plain");
    }
    graph.recordLoad("below", OVERLOADED, 0);
    assertEquals(0.7, graph.pressure("caller", 1), 1e-9);
    assertTrue(graph.pressure("plain", 1) <= 0.7);
  }

  @Test
  void aRouteThatMakesNoCallsWhileItRunsAloneHasNoPressure() {
    for (int i = 0; i < 50; i++) {
      graph.recordStart("caller");
      graph.recordStart("plain");
      graph.recordCall("below");
      graph.recordEnd("caller");
      graph.recordEnd("plain");
    }
    for (int i = 0; i < 400; i++) {
      graph.recordStart("plain");
      graph.recordEnd("plain");
    }
    graph.recordLoad("below", OVERLOADED, 0);
    assertEquals(0, graph.pressure("plain", 1), 1e-9);
    assertEquals(0.7, graph.pressure("caller", 1), 1e-9);
  }

  @Test
  void oldReportsAreIgnored() {
    graph.recordStart("caller");
    graph.recordCall("below");
    graph.recordLoad("below", OVERLOADED, 0);
    assertEquals(0, graph.pressure("caller", 3_000_000_000L), 1e-9);
  }
}
