package org.pomelohollow.pgm.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.pomelohollow.pgm.demo.DemoHttp.Outcome;

/** Sends reads through every daemon and checks that no target receives an API key. */
final class ReadScenario implements Scenario {
  private static final int REQUESTS = 300;

  @Override
  public String title() {
    return "reads through every daemon";
  }

  @Override
  public List<CheckResult> run(DemoFleet fleet) {
    List<CompletableFuture<Outcome>> sent = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String path = i % 2 == 0 ? "/catalogo/lots/" + i : "/reservas/list";
      sent.add(DemoHttp.send(DemoHttp.request(fleet.host(i), "aserradero", path).build()));
    }
    long ok = sent.stream().map(CompletableFuture::join).filter(Outcome::isOk).count();
    boolean keySeen = fleet.hosts().stream().anyMatch(h -> h.readCounts().sawApiKey());
    return List.of(
        new CheckResult("accepted reads complete", ok + " of " + REQUESTS, ok == REQUESTS),
        new CheckResult("no target sees a key", keySeen ? "seen" : "none seen", !keySeen));
  }
}
