package org.pomelohollow.pgm.demo;

import java.util.List;
import org.pomelohollow.pgm.demo.DemoHttp.Outcome;

/** Restarts a daemon gracefully under load that enters through the other daemons. */
final class DaemonRestartScenario implements Scenario {
  @Override
  public String title() {
    return "a daemon restarted gracefully";
  }

  @Override
  public List<CheckResult> run(DemoFleet fleet) throws InterruptedException {
    DemoFleet.Host restarted = fleet.host(0);
    List<DemoFleet.Host> others = fleet.hosts().subList(1, fleet.hosts().size());
    List<Outcome> outcomes;
    try (SteadyLoad load = SteadyLoad.startReads(others, "/catalogo/lots/3")) {
      Thread.sleep(500);
      fleet.restartDaemon(restarted);
      DemoFleet.await("work at the new daemon", () -> restarted.readCounts().started() > 0);
      outcomes = load.finish();
    }
    return List.of(SteadyLoad.checkAllServed("a planned stop cuts no request", outcomes));
  }
}
