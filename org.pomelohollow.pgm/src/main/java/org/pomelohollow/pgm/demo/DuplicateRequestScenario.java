package org.pomelohollow.pgm.demo;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.pomelohollow.pgm.demo.DemoHttp.Outcome;

/**
 * Sends each reservation three times concurrently through different daemons, and once more later,
 * with the same idempotency key.
 */
final class DuplicateRequestScenario implements Scenario {
  private static final int RESERVATIONS = 60;
  private static final int COPIES = 3;
  private static final long SEND_PERIOD_MILLIS = 20;

  @Override
  public String title() {
    return "reservations, each sent three times through different daemons";
  }

  @Override
  public List<CheckResult> run(DemoFleet fleet) throws InterruptedException {
    List<List<CompletableFuture<Outcome>>> sent = new ArrayList<>();
    for (int i = 0; i < RESERVATIONS; i++) {
      List<CompletableFuture<Outcome>> copies = new ArrayList<>();
      for (int k = 0; k < COPIES; k++) {
        copies.add(DemoHttp.send(reservation(fleet, i, i + k)));
      }
      sent.add(copies);
      Thread.sleep(SEND_PERIOD_MILLIS);
    }
    long served = 0;
    List<Outcome> unserved = new ArrayList<>();
    for (List<CompletableFuture<Outcome>> copies : sent) {
      List<Outcome> outcomes = copies.stream().map(CompletableFuture::join).toList();
      if (outcomes.stream().anyMatch(Outcome::isOk)) {
        served++;
      } else {
        unserved.addAll(outcomes);
      }
    }
    long servedAgain = 0;
    for (int i = 0; i < RESERVATIONS; i++) {
      servedAgain += DemoHttp.sendAndWait(reservation(fleet, i, i + COPIES)).isOk() ? 1 : 0;
    }
    long maxRuns =
        fleet.hosts().stream().mapToLong(h -> h.readCounts().maxRunsOfOneMark()).max().orElse(0);
    long runs = totalRuns(fleet);
    return List.of(
        new CheckResult(
            "reservations are served",
            served + " of " + RESERVATIONS + " " + SteadyLoad.describeFirstFailure(unserved),
            served == RESERVATIONS),
        new CheckResult(
            "a reservation runs at most once", "at most " + maxRuns + " time", maxRuns <= 1),
        new CheckResult("resends start no further run", runs + " runs", runs <= RESERVATIONS),
        new CheckResult(
            "a later resend gets the recorded answer",
            servedAgain + " of " + RESERVATIONS,
            servedAgain == RESERVATIONS));
  }

  private static HttpRequest reservation(DemoFleet fleet, int number, int entry) {
    return DemoHttp.request(fleet.host(entry), "aserradero", "/reservas/lot/" + number)
        .header("Idempotency-Key", "reservation-" + number)
        .header("Stand-In-Mark", "reservation-" + number)
        .POST(BodyPublishers.ofString("lot " + number))
        .build();
  }

  private static long totalRuns(DemoFleet fleet) {
    return fleet.hosts().stream().mapToLong(h -> h.readCounts().totalMarkedRuns()).sum();
  }
}
