package org.pomelohollow.pgm.demo;

import java.util.List;
import org.pomelohollow.pgm.demo.DemoHttp.Outcome;

/** Kills a target under load and starts a new one for its daemon. */
final class TargetCrashScenario implements Scenario {
  @Override
  public String title() {
    return "a target killed, and started again";
  }

  @Override
  public List<CheckResult> run(DemoFleet fleet) throws InterruptedException {
    DemoFleet.Host crashed = fleet.host(0);
    List<Outcome> outcomes;
    try (SteadyLoad load = SteadyLoad.startReads(fleet.hosts(), "/catalogo/lots/2")) {
      Thread.sleep(500);
      crashed.target().kill();
      Thread.sleep(2_500);
      fleet.restartTarget(crashed);
      DemoFleet.await("work at the new target", () -> crashed.readCounts().started() > 0);
      outcomes = load.finish();
    }
    long runs = crashed.readCounts().started();
    return List.of(
        SteadyLoad.checkAllServed("reads survive the death of a target", outcomes),
        new CheckResult("a new target gets work", runs + " calls", runs > 0));
  }
}
