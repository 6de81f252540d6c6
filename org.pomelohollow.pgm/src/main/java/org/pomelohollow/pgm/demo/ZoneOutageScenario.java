package org.pomelohollow.pgm.demo;

import java.time.Duration;
import java.util.List;
import org.pomelohollow.pgm.demo.DemoHttp.Outcome;

/** Takes an availability zone out of service under load and puts it back into service. */
final class ZoneOutageScenario implements Scenario {
  private static final String ZONE = "buga";
  private static final Duration GRACE_PERIOD = Duration.ofSeconds(3);
  private static final Duration OBSERVATION_TIME = Duration.ofSeconds(2);

  @Override
  public String title() {
    return "a zone out of service, and back";
  }

  @Override
  public List<CheckResult> run(DemoFleet fleet) throws InterruptedException {
    String original = fleet.document();
    String withoutZone =
        original.replace(
            "[zones." + ZONE + "]\nin_service = true", "[zones." + ZONE + "]\nin_service = false");
    List<Outcome> outcomes;
    long startedDuringOutage;
    long startedAfterReturn;
    try (SteadyLoad load = startLoad(fleet)) {
      fleet.publish(withoutZone);
      Thread.sleep(GRACE_PERIOD.toMillis());
      long countAtGraceEnd = countStarted(fleet);
      Thread.sleep(OBSERVATION_TIME.toMillis());
      startedDuringOutage = countStarted(fleet) - countAtGraceEnd;
      fleet.publish(original);
      long countAtReturn = countStarted(fleet);
      DemoFleet.await("work in the returned zone", () -> sendAndCheckStarted(fleet, countAtReturn));
      startedAfterReturn = countStarted(fleet) - countAtReturn;
      outcomes = load.finish();
    }
    boolean allServed = outcomes.stream().allMatch(Outcome::isOk);
    return List.of(
        new CheckResult(
            "a zone out of service gets no new work after 3 s",
            startedDuringOutage + " requests started",
            startedDuringOutage == 0),
        new CheckResult(
            "a returned zone gets work again",
            startedAfterReturn + " requests started",
            startedAfterReturn > 0),
        new CheckResult(
            "service goes on meanwhile",
            outcomes.size() + " sent, first failure: " + SteadyLoad.describeFirstFailure(outcomes),
            allServed));
  }

  /** Sends requests through the zone, and returns whether its targets have started any since. */
  private static boolean sendAndCheckStarted(DemoFleet fleet, long countBefore) {
    sendThroughZone(fleet);
    return countStarted(fleet) > countBefore;
  }

  /** Sends a request through each daemon of the zone; a daemon prefers targets of its own zone. */
  private static void sendThroughZone(DemoFleet fleet) {
    fleet.hosts().stream()
        .filter(h -> h.zone().equals(ZONE))
        .map(h -> DemoHttp.request(h, "aserradero", "/catalogo/lots/1").build())
        .forEach(DemoHttp::sendAndWait);
  }

  /** Starts a load that enters through the daemons of the other zones. */
  private static SteadyLoad startLoad(DemoFleet fleet) {
    List<DemoFleet.Host> entries =
        fleet.hosts().stream().filter(h -> !h.zone().equals(ZONE)).toList();
    return new SteadyLoad(
        Duration.ofMillis(10),
        i ->
            DemoHttp.send(
                DemoHttp.request(entries.get(i % entries.size()), "aserradero", "/catalogo/lots/1")
                    .build()));
  }

  /** Returns the number of requests that the targets of the zone have started. */
  private static long countStarted(DemoFleet fleet) {
    return fleet.hosts().stream()
        .filter(h -> h.zone().equals(ZONE))
        .mapToLong(h -> h.readCounts().started())
        .sum();
  }
}
