package org.pomelohollow.decision.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Plays root requests that run for a while and then make ten calls, one after the other, to a
 * service with a few slots. A call that waits for more than 0.6 s is lost, and its root with it.
 */
final class DeepLoad {
  private static final double STEP = 0.01;
  private static final int SLOTS = 48;
  private static final int QUEUE = 48;
  private static final int CALLS = 10;
  private static final double CALL_SECONDS = 0.055;
  private static final double ROOT_SECONDS = 0.22;
  private static final double HOP_SECONDS = 0.02;
  private static final double LONGEST_WAIT = 0.6;
  private static final double IMPORTANT_SHARE = 0.18;
  private static final double REPORT_SECONDS = 0.1;
  private static final double GREATEST_REFUSED = 0.96;

  private final SplittableRandom random = new SplittableRandom(1);
  private final Pressure pressure = new Pressure(2);
  private final boolean pressed;
  private final double rootsPerSecond;
  private final PriorityQueue<Root> coming =
      new PriorityQueue<>(Comparator.comparingDouble((Root r) -> r.at));
  private final Deque<Root> waiting = new ArrayDeque<>();
  private final List<Root> running = new ArrayList<>();
  private final Deque<double[]> reports = new ArrayDeque<>();
  private double heard;
  private double busySeconds;
  private double seconds;
  private int callsRun;
  private int callsWasted;

  DeepLoad(double demand, boolean pressed) {
    this.pressed = pressed;
    this.rootsPerSecond = demand * SLOTS / (CALLS * CALL_SECONDS);
  }

  DeepLoad play(double length) {
    for (double now = 0; now < length; now += STEP) {
      step(now);
    }
    seconds = length;
    return this;
  }

  /** Returns the share of the slots' time that ran calls. */
  double usedShare() {
    return busySeconds / (SLOTS * seconds);
  }

  /** Returns the share of the calls that ran for roots that failed. */
  double wastedShare() {
    return (double) callsWasted / callsRun;
  }

  private void step(double now) {
    arrive(now);
    while (!coming.isEmpty() && coming.peek().at <= now) {
      Root r = coming.remove();
      if (waiting.size() >= QUEUE) {
        callsWasted += r.done;
      } else {
        waiting.add(r);
        r.waitsSince = now;
      }
    }
    finish(now);
    start(now);
    busySeconds += running.size() * STEP;
    pressure.elapse(running.size() + waiting.size(), SLOTS, (long) (now * 1e9));
    reports.add(new double[] {now + REPORT_SECONDS, pressure.value()});
    while (!reports.isEmpty() && reports.peek()[0] <= now) {
      heard = reports.remove()[1];
    }
  }

  private void arrive(double now) {
    double n = rootsPerSecond * STEP;
    int roots = (int) n + (random.nextDouble() < n - (int) n ? 1 : 0);
    for (int i = 0; i < roots; i++) {
      double above = random.nextDouble() < IMPORTANT_SHARE ? 1 : 0;
      double refused = Math.max(0, Math.min(GREATEST_REFUSED, heard - above));
      if (!pressed || random.nextDouble() >= refused) {
        coming.add(new Root(now + ROOT_SECONDS * (0.5 + random.nextDouble())));
      }
    }
  }

  private void finish(double now) {
    List<Root> done = running.stream().filter(r -> r.at <= now).toList();
    running.removeAll(done);
    for (Root r : done) {
      callsRun++;
      r.done++;
      if (r.done < CALLS) {
        r.at = now + HOP_SECONDS * 2 * random.nextDouble();
        coming.add(r);
      }
    }
  }

  private void start(double now) {
    while (!waiting.isEmpty() && running.size() < SLOTS) {
      Root r = waiting.remove();
      if (now - r.waitsSince > LONGEST_WAIT) {
        callsWasted += r.done;
      } else {
        r.at = now + CALL_SECONDS * (0.5 + random.nextDouble());
        running.add(r);
      }
    }
  }

  private static final class Root {
    private double at;
    private double waitsSince;
    private int done;

    Root(double at) {
      this.at = at;
    }
  }
}
