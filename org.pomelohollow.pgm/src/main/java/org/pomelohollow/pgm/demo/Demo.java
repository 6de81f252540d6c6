package org.pomelohollow.pgm.demo;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;

/** Starts the fleet, drives it, and shows what was seen against what must hold. */
public final class Demo {
  private static final double NANOS_PER_SECOND = 1e9;

  private final Path directory;
  private final PrintStream out;
  private final long startNanos = System.nanoTime();

  /**
   * Creates a demo.
   *
   * @param directory takes settings and logs of the processes
   * @param out takes progress and results
   */
  public Demo(Path directory, PrintStream out) {
    this.directory = directory;
    this.out = out;
  }

  /**
   * Runs the demo.
   *
   * @return true if every line of the table holds
   * @throws InterruptedException if the demo is stopped
   */
  public boolean run() throws InterruptedException {
    try (DemoFleet fleet = start()) {
      List<Check> checks = new ArrayList<>();
      for (Scenario s : Scenarios.all()) {
        progress(s.title());
        checks.addAll(run(s, fleet));
      }
      return show(checks);
    }
  }

  /**
   * Starts the fleet and leaves it up.
   *
   * @param waiting waits for a signal and then runs what it is given
   * @return true
   * @throws InterruptedException if the demo is stopped
   */
  public boolean stay(Consumer<Runnable> waiting) throws InterruptedException {
    DemoFleet fleet = start();
    explain(fleet);
    waiting.accept(fleet::close);
    return true;
  }

  private DemoFleet start() throws InterruptedException {
    progress("starting 6 daemons and 6 targets; logs are in " + directory);
    DemoFleet fleet = new DemoFleet(directory);
    progress("publishing the document");
    fleet.publish(DemoFleet.firstDocument());
    DemoFleet.await(
        "calls through every daemon", () -> fleet.hosts().stream().allMatch(Demo::serves));
    return fleet;
  }

  private static boolean serves(DemoFleet.Host h) {
    return DemoHttp.sendNow(DemoHttp.request(h, "aserradero", "/catalogo/lots/0").build()).isOk()
        && DemoHttp.sendNow(DemoHttp.request(h, "aserradero", "/reservas/0").build()).isOk();
  }

  private static List<Check> run(Scenario s, DemoFleet fleet) throws InterruptedException {
    try {
      return s.run(fleet);
    } catch (PomelohollowException e) {
      return List.of(new Check(s.title(), e.getMessage(), false));
    }
  }

  private void progress(String what) {
    out.printf("%5.1f s  %s%n", (System.nanoTime() - startNanos) / NANOS_PER_SECOND, what);
    out.flush();
  }

  private boolean show(List<Check> checks) {
    out.println();
    for (Check c : checks) {
      out.printf("%-6s %-52s %s%n", c.holds() ? "holds" : "FAILS", c.what(), c.observed());
    }
    long failed = checks.stream().filter(c -> !c.holds()).count();
    out.println();
    progress(checks.size() - failed + " of " + checks.size() + " hold");
    return failed == 0;
  }

  private void explain(DemoFleet fleet) {
    out.println();
    out.println("log " + fleet.logAddress());
    for (DemoFleet.Host h : fleet.hosts()) {
      Endpoint callers = h.daemon().address("callers");
      out.printf("%-20s callers %s  admin %s%n", h.name(), callers, h.daemon().address("admin"));
    }
    out.println();
    Endpoint first = fleet.host(0).daemon().address("callers");
    for (String a : DemoFleet.ACCOUNTS) {
      out.printf("key of %s: %s%n", a, DemoFleet.key(a));
    }
    String auth = "-H 'Authorization: Bearer " + DemoFleet.key("vivero") + "'";
    out.println();
    out.println("curl -i " + auth + " http://" + first + "/catalogo/lots/1");
    out.println(
        "curl -i " + auth + " -H 'Idempotency-Key: 1' -d lot http://" + first + "/reservas/lot/1");
    out.println();
    out.println("SIGINT or SIGTERM ends the demo.");
  }
}
