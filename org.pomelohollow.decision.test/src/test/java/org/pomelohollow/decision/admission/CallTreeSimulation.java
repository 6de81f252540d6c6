package org.pomelohollow.decision.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates root requests that run for a while and then make ten calls, one after the other, to a
 * service with few slots. A call that is queued for more than 0.6 s fails, and its root request
 * with it.
 */
final class CallTreeSimulation {
  private static final double STEP_SECONDS = 0.01;
  private static final int SLOTS = 48;
  private static final int QUEUE_SIZE = 48;
  private static final int CALLS_PER_ROOT = 10;
  private static final double CALL_SECONDS = 0.055;
  private static final double ROOT_SECONDS = 0.22;
  private static final double HOP_SECONDS = 0.02;
  private static final double MAX_WAIT_SECONDS = 0.6;
  private static final double IMPORTANT_SHARE = 0.18;
  private static final double REPORT_DELAY_SECONDS = 0.1;
  private static final double MAX_REFUSED_SHARE = 0.96;

  private final SplittableRandom random = new SplittableRandom(1);
  private final PressureController pressure = new PressureController(2);
  private final boolean refusesEarly;
  private final double rootsPerSecond;
  private final PriorityQueue<RootRequest> upcoming =
      new PriorityQueue<>(Comparator.comparingDouble((RootRequest r) -> r.atSeconds));
  private final Deque<RootRequest> queued = new ArrayDeque<>();
  private final List<RootRequest> running = new ArrayList<>();
  private final Deque<double[]> reports = new ArrayDeque<>();
  private double reportedPressure;
  private double busySlotSeconds;
  private double simulatedSeconds;
  private int callsRun;
  private int callsWasted;

  CallTreeSimulation(double demand, boolean refusesEarly) {
    this.refusesEarly = refusesEarly;
    this.rootsPerSecond = demand * SLOTS / (CALLS_PER_ROOT * CALL_SECONDS);
  }

  CallTreeSimulation run(double lengthSeconds) {
    for (double nowSeconds = 0; nowSeconds < lengthSeconds; nowSeconds += STEP_SECONDS) {
      step(nowSeconds);
    }
    simulatedSeconds = lengthSeconds;
    return this;
  }

  /** Returns the share of the slots' time in which they ran calls. */
  double usedShare() {
    return busySlotSeconds / (SLOTS * simulatedSeconds);
  }

  /** Returns the share of the executed calls whose root request failed. */
  double wastedShare() {
    return (double) callsWasted / callsRun;
  }

  private void step(double nowSeconds) {
    arrive(nowSeconds);
    while (!upcoming.isEmpty() && upcoming.peek().atSeconds <= nowSeconds) {
      RootRequest r = upcoming.remove();
      if (queued.size() >= QUEUE_SIZE) {
        callsWasted += r.callsDone;
      } else {
        queued.add(r);
        r.queuedAtSeconds = nowSeconds;
      }
    }
    finish(nowSeconds);
    start(nowSeconds);
    busySlotSeconds += running.size() * STEP_SECONDS;
    pressure.update(running.size() + queued.size(), SLOTS, (long) (nowSeconds * 1e9));
    reports.add(new double[] {nowSeconds + REPORT_DELAY_SECONDS, pressure.value()});
    while (!reports.isEmpty() && reports.peek()[0] <= nowSeconds) {
      reportedPressure = reports.remove()[1];
    }
  }

  private void arrive(double nowSeconds) {
    double expectedRoots = rootsPerSecond * STEP_SECONDS;
    int roots =
        (int) expectedRoots + (random.nextDouble() < expectedRoots - (int) expectedRoots ? 1 : 0);
    for (int i = 0; i < roots; i++) {
      double lessImportantPriorities = random.nextDouble() < IMPORTANT_SHARE ? 1 : 0;
      double refusedShare =
          Math.max(0, Math.min(MAX_REFUSED_SHARE, reportedPressure - lessImportantPriorities));
      if (!refusesEarly || random.nextDouble() >= refusedShare) {
        upcoming.add(new RootRequest(nowSeconds + ROOT_SECONDS * (0.5 + random.nextDouble())));
      }
    }
  }

  private void finish(double nowSeconds) {
    List<RootRequest> ended = running.stream().filter(r -> r.atSeconds <= nowSeconds).toList();
    running.removeAll(ended);
    for (RootRequest r : ended) {
      callsRun++;
      r.callsDone++;
      if (r.callsDone < CALLS_PER_ROOT) {
        r.atSeconds = nowSeconds + HOP_SECONDS * 2 * random.nextDouble();
        upcoming.add(r);
      }
    }
  }

  private void start(double nowSeconds) {
    while (!queued.isEmpty() && running.size() < SLOTS) {
      RootRequest r = queued.remove();
      if (nowSeconds - r.queuedAtSeconds > MAX_WAIT_SECONDS) {
        callsWasted += r.callsDone;
      } else {
        r.atSeconds = nowSeconds + CALL_SECONDS * (0.5 + random.nextDouble());
        running.add(r);
      }
    }
  }

  private static final class RootRequest {
    private double atSeconds;
    private double queuedAtSeconds;
    private int callsDone;

    RootRequest(double atSeconds) {
      this.atSeconds = atSeconds;
    }
  }
}
