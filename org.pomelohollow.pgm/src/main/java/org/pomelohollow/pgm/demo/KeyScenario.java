package org.pomelohollow.pgm.demo;

import java.time.Duration;
import java.util.List;
import org.pomelohollow.decision.request.ApiKeyDigest;

/** Withdraws a key while its caller stays connected. */
final class KeyScenario implements Scenario {
  private static final Duration BOUND = Duration.ofSeconds(5);

  @Override
  public String title() {
    return "a key withdrawn, and put back";
  }

  @Override
  public List<Check> run(DemoFleet fleet) throws InterruptedException {
    String before = fleet.document();
    String entry =
        "[[keys]]\naccount = \"vivero\"\nsha256 = \""
            + ApiKeyDigest.of(DemoFleet.key("vivero"))
            + "\"\n";
    Duration took = fleet.publish(before.replace(entry, ""));
    boolean refused =
        fleet.hosts().stream()
            .allMatch(
                h ->
                    DemoHttp.sendNow(DemoHttp.request(h, "vivero", "/reservas/x").build()).status()
                        == 401);
    Duration back = fleet.publish(before);
    return List.of(
        new Check(
            "a withdrawn key stops working everywhere",
            refused ? "refused after " + took.toMillis() + " ms" : "still accepted",
            refused && took.compareTo(BOUND) <= 0),
        new Check(
            "a change is in force everywhere within 11 s",
            took.toMillis() + " ms and " + back.toMillis() + " ms",
            back.compareTo(Duration.ofSeconds(11)) <= 0));
  }
}
