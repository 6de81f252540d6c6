package org.pomelohollow.pgm.demo;

import java.util.List;
import org.pomelohollow.pgm.demo.DemoHttp.Outcome;

/** Kills a target under load and starts it again. */
final class KillScenario implements Scenario {
  @Override
  public String title() {
    return "a target killed, and started again";
  }

  @Override
  public List<Check> run(DemoFleet fleet) throws InterruptedException {
    DemoFleet.Host victim = fleet.host(0);
    List<Outcome> seen;
    try (SteadyLoad load = SteadyLoad.reads(fleet.hosts(), "/catalogo/lots/2")) {
      Thread.sleep(500);
      victim.target().kill();
      Thread.sleep(2_500);
      fleet.restartTarget(victim);
      DemoFleet.await("work at the new target", () -> victim.counts().started() > 0);
      seen = load.finish();
    }
    long runs = victim.counts().started();
    return List.of(
        SteadyLoad.allServed("reads survive the death of a target", seen),
        new Check("a new target gets work", runs + " calls", runs > 0));
  }
}
