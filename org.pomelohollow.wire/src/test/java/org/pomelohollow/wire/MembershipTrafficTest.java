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
 * Messages and bytes of membership for each daemon, encoded as on the wire. Prints its figures;
 * with {@code -Dpomelohollow.measure=true} for large fleets too.
 */
class MembershipTrafficTest {
  private static final int ZONES = 7;
  private static final int TARGETS_PER_SERVICE = 8;
  private static final int USED_TARGETS = 24;
  private static final long BOUND_BYTES_PER_SECOND = 9_000;
  private static final Duration SPAN = Duration.ofSeconds(10);
  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final boolean MEASURE = Boolean.getBoolean("pomelohollow.measure");

  private final WireCodec codec = new WireCodec();
  private final Map<String, long[]> counts = new TreeMap<>();

  @BeforeTry
  void clear() {
    counts.clear();
  }

  @Example
  void steadyTrafficStaysWithinItsShare() {
    for (int n : MEASURE ? List.of(4, 8, 16, 32, 64, 256, 1500) : List.of(4, 8, 16, 32, 64)) {
      MembershipSimulation f = started(n);
      measure(f, "steady, " + n + " daemons", SPAN, () -> {});
      double bytes = measure(f, "steady and routing, " + n + " daemons", SPAN, () -> useTargets(f));
      assertTrue(bytes < BOUND_BYTES_PER_SECOND, n + " daemons: " + bytes);
    }
  }

  @Example
  void faultsAtLargeSizes() {
    for (int n : MEASURE ? List.of(64, 1500) : List.of(64)) {
      MembershipSimulation f = started(n);
      leave(f, 5, 0);
      leave(f, 6, 0.1);
      f.setLoss(0);
      f.runFor(SPAN);
      f.crash(7);
      settle(f, "crash", () -> f.countDaemonsRoutingTo(7) == 0);
      f.runFor(SPAN);
      IntPredicate inside = k -> k % ZONES == 2;
      f.setPartition((from, to) -> inside.test(from) != inside.test(to));
      settle(f, "zone cut, outside", () -> f.isConverged(inside.negate()));
      settle(f, "zone cut, inside", () -> f.isConverged(inside));
      f.runFor(LIMIT);
      f.setPartition((from, to) -> false);
      settle(f, "zone back", f::isConverged);
      f.runFor(SPAN);
      for (int k = 2; k < n; k += ZONES) {
        f.crash(k);
      }
      settle(f, "zone lost", f::isConverged);
    }
  }

  private void leave(MembershipSimulation f, int k, double loss) {
    f.setLoss(loss);
    f.requestShutdown(k);
    settle(f, "leave at " + loss + " loss", () -> f.countDaemonsRoutingTo(k) == 0);
    f.runFor(Duration.ofSeconds(1));
    f.crash(k);
    f.runFor(SPAN);
  }

  private MembershipSimulation started(int n) {
    MembershipSimulation f =
        new MembershipSimulation(ZONES, Math.max(1, n / TARGETS_PER_SERVICE), 1);
    f.setSendListener(this::count);
    f.start(n);
    settle(f, "start of " + n + " daemons at once", f::isConverged);
    f.runFor(SPAN);
    return f;
  }

  private void settle(MembershipSimulation f, String what, BooleanSupplier done) {
    counts.clear();
    Optional<Duration> took = f.runUntil(LIMIT, done);
    System.out.printf(
        "%s, %d daemons: after %s ms; until then sent by each daemon: %s%n",
        what, f.size(), took.map(Duration::toMillis), totals(f.size(), 1));
    assertTrue(took.isPresent(), what);
  }

  private double measure(MembershipSimulation f, String what, Duration span, Runnable eachSecond) {
    counts.clear();
    long start = System.nanoTime();
    for (long s = 0; s < span.toSeconds(); s++) {
      eachSecond.run();
      f.runFor(Duration.ofSeconds(1));
    }
    double processorShare = (System.nanoTime() - start) / (double) span.toNanos() / f.size();
    System.out.printf(
        "%s: each second, sent by each daemon: %s; %.3f%% of a core with encoding%n",
        what, totals(f.size(), span.toSeconds()), 100 * processorShare);
    long sum = counts.values().stream().mapToLong(c -> c[1]).sum();
    return sum / (double) f.size() / span.toSeconds();
  }

  /** Lets every daemon route to some of the targets that follow its own. */
  private static void useTargets(MembershipSimulation f) {
    for (int k = 0; k < f.size(); k++) {
      for (int i = 1; i <= Math.min(USED_TARGETS, f.size() - 1); i++) {
        f.daemon(k).controller().used(f.id((k + i) % f.size()), f.nowNanos());
      }
    }
  }

  private void count(Object from, PeerMessage m) {
    long[] c = counts.computeIfAbsent(m.getClass().getSimpleName(), k -> new long[2]);
    c[0]++;
    c[1] += codec.encode(m).length;
  }

  private String totals(int daemons, long seconds) {
    StringBuilder b = new StringBuilder();
    double per = (double) daemons * seconds;
    counts.forEach(
        (type, c) ->
            b.append(String.format("%s %.2f messages %.0f bytes, ", type, c[0] / per, c[1] / per)));
    return b.toString();
  }
}
