package org.pomelohollow.decision.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import org.pomelohollow.decision.admission.FixedLimit;

/**
 * Checks what callers get where 15 % of 26 targets are 2.5 times slower, others every 600 ms, and
 * 59 daemons route to them. Guards against reported slowdowns that cost callers more than they
 * save, and against all daemons moving at once when one changes.
 */
class SlowHostsTest {
  private static final int TARGETS = 26;
  private static final int OTHER_DAEMONS = 33;
  private static final int SLOTS = 20;
  private static final double WORK_MILLIS = 191;
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final double SLOWDOWN = 2.5;
  private static final double SLOW_SHARE = 0.15;
  private static final double PHASE_SECONDS = 0.6;
  private static final int SECONDS = 14;

  /** By then, the mean times of the targets are known. */
  private static final int FROM_SECOND = 4;

  /** Half of a phase. At 0.7 of the slots, a target gets 22 requests in it on average. */
  private static final double WINDOW_SECONDS = 0.3;

  private static final double EVEN_SHARE = 1.0 / TARGETS;

  @Example
  void callersAreServedNoWorseWithReportedSlowdowns() {
    for (double load : new double[] {0.7, 1.0}) {
      for (long seed = 1; seed <= 2; seed++) {
        Result without = run(seed, load, LoadReporting.NONE);
        Result with = run(seed, load, LoadReporting.WITH_SLOWDOWN);
        String runs = "load " + load + ": without " + without + ", with " + with;
        if (Boolean.getBoolean("pomelohollow.measure")) {
          System.out.println(runs);
        }
        assertTrue(with.p50Millis <= 1.03 * without.p50Millis, runs);
        assertTrue(with.p99Millis <= 1.03 * without.p99Millis, runs);
        assertTrue(with.servedShare >= without.servedShare - 0.01, runs);
      }
    }
  }

  @Example
  void noTargetsShareJumpsWhenSlowdownsFlip() {
    for (long seed = 1; seed <= 2; seed++) {
      Result with = run(seed, 0.7, LoadReporting.WITH_SLOWDOWN);
      assertTrue(with.greatestShare <= 2.5 * EVEN_SHARE, with::toString);
      assertTrue(with.greatestChange <= 1.75 * EVEN_SHARE, with::toString);
    }
  }

  @Example
  void reportsWithoutAFourthFigureChangeNoDecision() {
    assertEquals(run(1, 0.7, LoadReporting.NONE), run(1, 0.7, LoadReporting.WITHOUT_SLOWDOWN));
  }

  private static Result run(long seed, double load, LoadReporting reporting) {
    LoadSimulation sim =
        new LoadSimulation(seed, FixedLimit::new)
            .withLoadReporting(reporting)
            .addService("s", TARGETS, SLOTS, SLOTS, SLOTS, 0)
            .addService("other", OTHER_DAEMONS, SLOTS, SLOTS, SLOTS, 0);
    List<SimulatedDaemon> targets = sim.daemons().subList(0, TARGETS);
    flipSlowdowns(sim, targets, new SplittableRandom(seed + 100));
    Shares shares = new Shares(targets);
    for (double t = FROM_SECOND; t < SECONDS; t += WINDOW_SECONDS) {
      sim.schedule(t, shares::endWindow);
    }
    double capacity = TARGETS * SLOTS / (WORK_MILLIS / 1e3);
    TrafficSource pages =
        new TrafficSource(
            "page", "a", 1, false, "s", t -> load * capacity, WORK_MILLIS, TIMEOUT_MILLIS, 0);
    SourceStats stats = sim.run(SECONDS, pages).get(pages);
    return new Result(
        stats.latencyQuantileMillis(0.5),
        stats.latencyQuantileMillis(0.99),
        stats.successShare(FROM_SECOND, SECONDS),
        shares.greatest,
        shares.greatestChange);
  }

  /** Decides anew each 600 ms, at another moment for each target, whether its host is slow. */
  private static void flipSlowdowns(
      LoadSimulation sim, List<SimulatedDaemon> targets, SplittableRandom random) {
    for (SimulatedDaemon d : targets) {
      double first = random.nextDouble() * PHASE_SECONDS;
      for (double t = first; t < SECONDS; t += PHASE_SECONDS) {
        double slowdown = random.nextDouble() < SLOW_SHARE ? SLOWDOWN : 1;
        sim.schedule(t, () -> d.target().setSlowdown(slowdown));
      }
    }
  }

  private record Result(
      double p50Millis,
      double p99Millis,
      double servedShare,
      double greatestShare,
      double greatestChange) {}

  /** Shares of the targets in the jobs started in each window. */
  private static final class Shares {
    private final List<SimulatedDaemon> targets;
    private final int[] startedBefore;
    private final double[] lastShares;
    private int windows;
    private double greatest;
    private double greatestChange;

    Shares(List<SimulatedDaemon> targets) {
      this.targets = targets;
      this.startedBefore = new int[targets.size()];
      this.lastShares = new double[targets.size()];
    }

    void endWindow() {
      int[] started = targets.stream().mapToInt(SimulatedDaemon::startedJobs).toArray();
      int all = 0;
      for (int i = 0; i < started.length; i++) {
        all += started[i] - startedBefore[i];
      }
      for (int i = 0; i < started.length; i++) {
        double share = (started[i] - startedBefore[i]) / (double) Math.max(1, all);
        if (windows > 0) {
          greatest = Math.max(greatest, share);
        }
        if (windows > 1) {
          greatestChange = Math.max(greatestChange, Math.abs(share - lastShares[i]));
        }
        lastShares[i] = share;
        startedBefore[i] = started[i];
      }
      windows++;
    }
  }
}
