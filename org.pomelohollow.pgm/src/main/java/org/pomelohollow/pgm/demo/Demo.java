package org.pomelohollow.pgm.demo;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;

/** Starts a fleet, runs all scenarios against it and prints the result of each check. */
public final class Demo {
  private static final double NANOS_PER_SECOND = 1e9;

  private final Path directory;
  private final PrintStream out;
  private final long startNanos = System.nanoTime();

  /**
   * Creates a demo.
   *
   * @param directory directory for the settings and log files of the processes
   * @param out receives progress and results
   */
  public Demo(Path directory, PrintStream out) {
    this.directory = directory;
    this.out = out;
  }

  /**
   * Runs all scenarios and stops the fleet.
   *
   * @return true if every check passed
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean run() throws InterruptedException {
    try (DemoFleet fleet = start()) {
      List<CheckResult> checks = new ArrayList<>();
      for (Scenario s : Scenarios.all()) {
        printProgress(s.title());
        checks.addAll(run(s, fleet));
      }
      return printResults(checks);
    }
  }

  /**
   * Starts the fleet without running scenarios and prints example requests.
   *
   * @param awaitSignal blocks until a signal arrives, then runs the given shutdown action
   * @return true
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean runUntilSignal(Consumer<Runnable> awaitSignal) throws InterruptedException {
    DemoFleet fleet = start();
    printExamples(fleet);
    awaitSignal.accept(fleet::close);
    return true;
  }

  private DemoFleet start() throws InterruptedException {
    printProgress("starting 6 daemons and 6 targets; logs are in " + directory);
    DemoFleet fleet = new DemoFleet(directory);
    printProgress("publishing the document");
    fleet.publish(DemoFleet.readInitialDocument());
    DemoFleet.await(
        "calls through every daemon",
        () -> fleet.hosts().stream().allMatch(Demo::servesBothServices));
    return fleet;
  }

  private static boolean servesBothServices(DemoFleet.Host h) {
    return DemoHttp.sendAndWait(DemoHttp.request(h, "aserradero", "/catalogo/lots/0").build())
            .isOk()
        && DemoHttp.sendAndWait(DemoHttp.request(h, "aserradero", "/reservas/0").build()).isOk();
  }

  private static List<CheckResult> run(Scenario s, DemoFleet fleet) throws InterruptedException {
    try {
      return s.run(fleet);
    } catch (PomelohollowException e) {
      return List.of(new CheckResult(s.title(), e.getMessage(), false));
    }
  }

  private void printProgress(String message) {
    out.printf("%5.1f s  %s%n", (System.nanoTime() - startNanos) / NANOS_PER_SECOND, message);
    out.flush();
  }

  private boolean printResults(List<CheckResult> checks) {
    out.println();
    for (CheckResult c : checks) {
      out.printf("%-6s %-52s %s%n", c.passed() ? "holds" : "FAILS", c.expectation(), c.observed());
    }
    long failed = checks.stream().filter(c -> !c.passed()).count();
    out.println();
    printProgress(checks.size() - failed + " of " + checks.size() + " hold");
    return failed == 0;
  }

  private void printExamples(DemoFleet fleet) {
    out.println();
    out.println("log " + fleet.logAddress());
    for (DemoFleet.Host h : fleet.hosts()) {
      Endpoint callers = h.daemon().address("callers");
      out.printf("%-20s callers %s  admin %s%n", h.name(), callers, h.daemon().address("admin"));
    }
    out.println();
    Endpoint entry = fleet.host(0).daemon().address("callers");
    for (String a : DemoFleet.ACCOUNTS) {
      out.printf("key of %s: %s%n", a, DemoFleet.apiKey(a));
    }
    String auth = "-H 'Authorization: Bearer " + DemoFleet.apiKey("vivero") + "'";
    out.println();
    out.println("curl -i " + auth + " http://" + entry + "/catalogo/lots/1");
    out.println(
        "curl -i " + auth + " -H 'Idempotency-Key: 1' -d lot http://" + entry + "/reservas/lot/1");
    out.println();
    out.println("SIGINT or SIGTERM ends the demo.");
  }
}
