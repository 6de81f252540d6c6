package org.pomelohollow.pgm.demo;

import java.time.Duration;
import java.util.List;
import org.pomelohollow.decision.request.ApiKeyDigest;

/**
 * Removes an API key from the document and checks that every daemon refuses it, then restores it.
 */
final class KeyRevocationScenario implements Scenario {
  private static final Duration MAX_REVOCATION_TIME = Duration.ofSeconds(5);

  @Override
  public String title() {
    return "a key withdrawn, and put back";
  }

  @Override
  public List<CheckResult> run(DemoFleet fleet) throws InterruptedException {
    String original = fleet.document();
    String keyEntry =
        "[[keys]]\naccount = \"vivero\"\nsha256 = \""
            + ApiKeyDigest.of(DemoFleet.apiKey("vivero"))
            + "\"\n";
    Duration revocationTime = fleet.publish(original.replace(keyEntry, ""));
    boolean refused =
        fleet.hosts().stream()
            .allMatch(
                h ->
                    DemoHttp.sendAndWait(DemoHttp.request(h, "vivero", "/reservas/x").build())
                            .status()
                        == 401);
    Duration restoreTime = fleet.publish(original);
    return List.of(
        new CheckResult(
            "a withdrawn key stops working everywhere",
            refused ? "refused after " + revocationTime.toMillis() + " ms" : "still accepted",
            refused && revocationTime.compareTo(MAX_REVOCATION_TIME) <= 0),
        new CheckResult(
            "a change is in force everywhere within 11 s",
            revocationTime.toMillis() + " ms and " + restoreTime.toMillis() + " ms",
            restoreTime.compareTo(Duration.ofSeconds(11)) <= 0));
  }
}
