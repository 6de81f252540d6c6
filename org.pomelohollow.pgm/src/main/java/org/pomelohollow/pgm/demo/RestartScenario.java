package org.pomelohollow.pgm.demo;

import java.time.Duration;
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
    try (SteadyLoad load =
        new SteadyLoad(
            Duration.ofMillis(10),
            i ->
                DemoHttp.send(
                    DemoHttp.request(
                            others.get(i % others.size()), "aserradero", "/catalogo/lots/3")
                        .build()))) {
      Thread.sleep(500);
      fleet.restartDaemon(restarted);
      DemoFleet.await("work at the new daemon", () -> restarted.counts().started() > 0);
      seen = load.finish();
    }
    boolean allServed = seen.stream().allMatch(Outcome::isOk);
    return List.of(
        new Check(
            "a planned stop cuts no request",
            seen.size() + " sent, first failure: " + SteadyLoad.failures(seen),
            allServed));
  }
}
