package org.pomelohollow.pgm.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.pomelohollow.pgm.demo.DemoHttp.Outcome;

/** Sends requests whose target makes an outbound call to another service. */
final class CallChainScenario implements Scenario {
  private static final int REQUESTS = 60;
  private static final long SEND_PERIOD_MILLIS = 10;

  @Override
  public String title() {
    return "a chain of calls";
  }

  @Override
  public List<CheckResult> run(DemoFleet fleet) throws InterruptedException {
    long startedBefore = countStarted(fleet);
    List<CompletableFuture<Outcome>> sent = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      sent.add(DemoHttp.send(DemoHttp.request(fleet.host(i), "vivero", "/catalogo/chain").build()));
      Thread.sleep(SEND_PERIOD_MILLIS);
    }
    long ok = sent.stream().map(CompletableFuture::join).filter(Outcome::isOk).count();
    long started = countStarted(fleet) - startedBefore;
    return List.of(
        new CheckResult("chains complete", ok + " of " + REQUESTS, ok == REQUESTS),
        new CheckResult(
            "each chain makes one outbound call",
            started + " requests started",
            started == 2L * REQUESTS));
  }

  private static long countStarted(DemoFleet fleet) {
    return fleet.hosts().stream().mapToLong(h -> h.readCounts().started()).sum();
  }
}
