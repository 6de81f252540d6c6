package org.pomelohollow.pgm.demo;

import java.util.List;

/** Lists the scenarios of the demo in the order in which they run. */
final class Scenarios {
  private Scenarios() {}

  static List<Scenario> all() {
    return List.of(
        new ReadScenario(),
        new DuplicateRequestScenario(),
        new CallChainScenario(),
        new LargeResponseScenario(),
        new RateLimitScenario(),
        new KeyRevocationScenario(),
        new ZoneOutageScenario(),
        new TargetCrashScenario(),
        new DaemonRestartScenario());
  }
}
