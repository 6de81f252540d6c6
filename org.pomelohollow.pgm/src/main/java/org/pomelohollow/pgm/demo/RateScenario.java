package org.pomelohollow.pgm.demo;

import java.time.Duration;
import java.util.List;
import org.pomelohollow.pgm.demo.DemoHttp.Outcome;

/** One account at several times its rate through all daemons, beside one that stays within. */
final class RateScenario implements Scenario {
  private static final double RATE = 10;
  private static final double BURST = 20;
  private static final Duration TIME = Duration.ofSeconds(4);

  @Override
  public String title() {
    return "an account at ten times its rate";
  }

  @Override
  public List<Check> run(DemoFleet fleet) throws InterruptedException {
    long start = System.nanoTime();
    List<Outcome> noisy;
    List<Outcome> quiet;
    try (SteadyLoad a = load(fleet, "ruidoso", 10);
        SteadyLoad b = load(fleet, "vivero", 10)) {
      Thread.sleep(TIME.toMillis());
      noisy = a.finish();
      quiet = b.finish();
    }
    double seconds = (System.nanoTime() - start) / 1e9;
    long admitted = noisy.stream().filter(Outcome::isOk).count();
    long limit = (long) Math.floor(BURST + RATE * seconds);
    long refused = noisy.stream().filter(o -> o.status() == 429).count();
    boolean othersServed = quiet.stream().allMatch(Outcome::isOk);
    return List.of(
        new Check(
            "no more than rate and burst over all hosts",
            admitted + " of at most " + limit,
            admitted <= limit),
        new Check("the rest is refused as not run", refused + " refused", refused > 0),
        new Check(
            "the account gets what it is due",
            admitted + " of about " + limit,
            admitted >= limit * 0.5),
        new Check(
            "another account is not crowded out",
            quiet.size() + " sent, first failure: " + SteadyLoad.failures(quiet),
            othersServed));
  }

  private static SteadyLoad load(DemoFleet fleet, String account, int periodMillis) {
    return new SteadyLoad(
        Duration.ofMillis(periodMillis),
        i -> DemoHttp.send(DemoHttp.request(fleet.host(i), account, "/reservas/list").build()));
  }
}
