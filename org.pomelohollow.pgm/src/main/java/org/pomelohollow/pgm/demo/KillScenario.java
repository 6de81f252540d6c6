package org.pomelohollow.pgm.demo;

import java.time.Duration;
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
    try (SteadyLoad load =
        new SteadyLoad(
            Duration.ofMillis(10),
            i ->
                DemoHttp.send(
                    DemoHttp.request(fleet.host(i), "aserradero", "/catalogo/lots/2").build()))) {
      Thread.sleep(500);
      victim.target().kill();
      Thread.sleep(2_500);
      fleet.restartTarget(victim);
      DemoFleet.await("work at the new target", () -> victim.counts().started() > 0);
      seen = load.finish();
    }
    boolean allServed = seen.stream().allMatch(Outcome::isOk);
    return List.of(
        new Check(
            "reads survive the death of a target",
            seen.size() + " sent, first failure: " + SteadyLoad.failures(seen),
            allServed),
        new Check("a new target gets work", victim.counts().started() + " calls", true));
  }
}
