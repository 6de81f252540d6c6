package org.pomelohollow.wire;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.IntPredicate;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;
import org.pomelohollow.junit.MembershipSimulation;
import org.pomelohollow.message.PeerMessage;

/**
 * Measures and bounds the membership messages that each daemon sends: their number, and their size
 * as encoded on the wire. Prints the figures; with {@code -Dpomelohollow.measure=true} also for
 * large fleets.
 */
class MembershipTrafficTest {
  private static final int ZONES = 7;
  private static final int TARGETS_PER_SERVICE = 8;
  private static final int ROUTED_TARGETS = 24;
  private static final long MAX_BYTES_PER_SECOND = 9_000;
  private static final Duration MEASURED_TIME = Duration.ofSeconds(10);
  private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(60);
  private static final boolean MEASURE_LARGE_FLEETS = Boolean.getBoolean("pomelohollow.measure");

  private final WireCodec codec = new WireCodec();
  private final Map<String, long[]> totalsByType = new TreeMap<>();

  @BeforeTry
  void clear() {
    totalsByType.clear();
  }

  @Example
  void steadyTrafficStaysWithinItsBound() {
    for (int n :
        MEASURE_LARGE_FLEETS ? List.of(4, 8, 16, 32, 64, 256, 1500) : List.of(4, 8, 16, 32, 64)) {
      MembershipSimulation f = startConvergedFleet(n);
      measure(f, "steady, " + n + " daemons", MEASURED_TIME, () -> {});
      double bytes =
          measure(
              f, "steady and routing, " + n + " daemons", MEASURED_TIME, () -> routeToTargets(f));
      assertTrue(bytes < MAX_BYTES_PER_SECOND, n + " daemons: " + bytes);
    }
  }

  @Example
  void convergesAfterFaultsInLargeFleets() {
    for (int n : MEASURE_LARGE_FLEETS ? List.of(64, 1500) : List.of(64)) {
      MembershipSimulation f = startConvergedFleet(n);
      leaveAndStop(f, 5, 0);
      leaveAndStop(f, 6, 0.1);
      f.setLoss(0);
      f.runFor(MEASURED_TIME);
      f.crash(7);
      measureUntil(f, "crash", () -> f.countDaemonsRoutingTo(7) == 0);
      f.runFor(MEASURED_TIME);
      IntPredicate inCutZone = k -> k % ZONES == 2;
      f.setPartition((from, to) -> inCutZone.test(from) != inCutZone.test(to));
      measureUntil(f, "zone cut, outside", () -> f.isConverged(inCutZone.negate()));
      measureUntil(f, "zone cut, inside", () -> f.isConverged(inCutZone));
      f.runFor(CONVERGENCE_TIMEOUT);
      f.setPartition((from, to) -> false);
      measureUntil(f, "zone back", f::isConverged);
      f.runFor(MEASURED_TIME);
      for (int k = 2; k < n; k += ZONES) {
        f.crash(k);
      }
      measureUntil(f, "zone lost", f::isConverged);
    }
  }

  private void leaveAndStop(MembershipSimulation f, int k, double loss) {
    f.setLoss(loss);
    f.requestShutdown(k);
    measureUntil(f, "leave at " + loss + " loss", () -> f.countDaemonsRoutingTo(k) == 0);
    f.runFor(Duration.ofSeconds(1));
    f.crash(k);
    f.runFor(MEASURED_TIME);
  }

  private MembershipSimulation startConvergedFleet(int n) {
    MembershipSimulation f =
        new MembershipSimulation(ZONES, Math.max(1, n / TARGETS_PER_SERVICE), 1);
    f.setSendListener(this::count);
    f.start(n);
    measureUntil(f, "start of " + n + " daemons at once", f::isConverged);
    f.runFor(MEASURED_TIME);
    return f;
  }

  private void measureUntil(MembershipSimulation f, String what, BooleanSupplier done) {
    totalsByType.clear();
    Optional<Duration> took = f.runUntil(CONVERGENCE_TIMEOUT, done);
    System.out.printf(
        "%s, %d daemons: after %s ms; until then sent by each daemon: %s%n",
        what, f.size(), took.map(Duration::toMillis), totals(f.size(), 1));
    assertTrue(took.isPresent(), what);
  }

  private double measure(MembershipSimulation f, String what, Duration span, Runnable eachSecond) {
    totalsByType.clear();
    long start = System.nanoTime();
    for (long s = 0; s < span.toSeconds(); s++) {
      eachSecond.run();
      f.runFor(Duration.ofSeconds(1));
    }
    double processorShare = (System.nanoTime() - start) / (double) span.toNanos() / f.size();
    System.out.printf(
        "%s: each second, sent by each daemon: %s; %.3f%% of a core with encoding%n",
        what, totals(f.size(), span.toSeconds()), 100 * processorShare);
    long sum = totalsByType.values().stream().mapToLong(c -> c[1]).sum();
    return sum / (double) f.size() / span.toSeconds();
  }

  /** Makes every daemon route to some of the targets that follow its own in the order of hosts. */
  private static void routeToTargets(MembershipSimulation f) {
    for (int k = 0; k < f.size(); k++) {
      for (int i = 1; i <= Math.min(ROUTED_TARGETS, f.size() - 1); i++) {
        f.daemon(k).controller().recordUse(f.id((k + i) % f.size()), f.nowNanos());
      }
    }
  }

  private void count(Object from, PeerMessage m) {
    long[] c = totalsByType.computeIfAbsent(m.getClass().getSimpleName(), k -> new long[2]);
    c[0]++;
    c[1] += codec.encode(m).length;
  }

  private String totals(int daemons, long seconds) {
    StringBuilder b = new StringBuilder();
    double per = (double) daemons * seconds;
    totalsByType.forEach(
        (type, c) ->
            b.append(String.format("%s %.2f messages %.0f bytes, ", type, c[0] / per, c[1] / per)));
    return b.toString();
  }
}
