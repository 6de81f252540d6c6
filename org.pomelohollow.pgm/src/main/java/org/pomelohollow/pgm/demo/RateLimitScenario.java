package org.pomelohollow.pgm.demo;

import java.time.Duration;
import java.util.List;
import org.pomelohollow.pgm.demo.DemoHttp.Outcome;

/**
 * Sends requests of one account at ten times its rate through all daemons, and of another account
 * within its rate.
 */
final class RateLimitScenario implements Scenario {
  private static final double RATE_PER_SECOND = 10;
  private static final double BURST = 20;
  private static final Duration LOAD_TIME = Duration.ofSeconds(4);

  @Override
  public String title() {
    return "an account at ten times its rate";
  }

  @Override
  public List<CheckResult> run(DemoFleet fleet) throws InterruptedException {
    long startNanos = System.nanoTime();
    List<Outcome> noisy;
    List<Outcome> quiet;
    try (SteadyLoad noisyLoad = startLoad(fleet, "ruidoso", 10);
        SteadyLoad quietLoad = startLoad(fleet, "vivero", 10)) {
      Thread.sleep(LOAD_TIME.toMillis());
      noisy = noisyLoad.finish();
      quiet = quietLoad.finish();
    }
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    long admitted = noisy.stream().filter(Outcome::isOk).count();
    long limit = (long) Math.floor(BURST + RATE_PER_SECOND * seconds);
    long refused = noisy.stream().filter(o -> o.status() == 429).count();
    boolean othersServed = quiet.stream().allMatch(Outcome::isOk);
    return List.of(
        new CheckResult(
            "no more than rate and burst over all hosts",
            admitted + " of at most " + limit,
            admitted <= limit),
        new CheckResult("the rest is refused as not run", refused + " refused", refused > 0),
        new CheckResult(
            "the account gets what it is due",
            admitted + " of about " + limit,
            admitted >= limit * 0.5),
        new CheckResult(
            "another account is not crowded out",
            quiet.size() + " sent, first failure: " + SteadyLoad.describeFirstFailure(quiet),
            othersServed));
  }

  private static SteadyLoad startLoad(DemoFleet fleet, String account, int periodMillis) {
    return new SteadyLoad(
        Duration.ofMillis(periodMillis),
        i -> DemoHttp.send(DemoHttp.request(fleet.host(i), account, "/reservas/list").build()));
  }
}
