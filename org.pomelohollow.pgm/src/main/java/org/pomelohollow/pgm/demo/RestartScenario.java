package org.pomelohollow.pgm.demo;

import java.util.List;
import org.pomelohollow.pgm.demo.DemoHttp.Outcome;

/** Restarts a daemon gracefully under load that enters elsewhere. */
final class RestartScenario implements Scenario {
  @Override
  public String title() {
    return "a daemon restarted gracefully";
  }

  @Override
  public List<Check> run(DemoFleet fleet) throws InterruptedException {
    DemoFleet.Host restarted = fleet.host(0);
    List<DemoFleet.Host> others = fleet.hosts().subList(1, fleet.hosts().size());
    List<Outcome> seen;
    try (SteadyLoad load = SteadyLoad.reads(others, "/catalogo/lots/3")) {
      Thread.sleep(500);
      fleet.restartDaemon(restarted);
      DemoFleet.await("work at the new daemon", () -> restarted.counts().started() > 0);
      seen = load.finish();
    }
    return List.of(SteadyLoad.allServed("a planned stop cuts no request", seen));
  }
}
