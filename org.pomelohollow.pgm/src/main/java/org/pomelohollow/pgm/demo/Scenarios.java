package org.pomelohollow.pgm.demo;

import java.util.List;

/** The parts of the demo in their order. */
final class Scenarios {
  private Scenarios() {}

  static List<Scenario> all() {
    return List.of(
        new ReadScenario(),
        new ResendScenario(),
        new ChainScenario(),
        new PackScenario(),
        new RateScenario(),
        new KeyScenario(),
        new ZoneScenario(),
        new KillScenario(),
        new RestartScenario());
  }
}
