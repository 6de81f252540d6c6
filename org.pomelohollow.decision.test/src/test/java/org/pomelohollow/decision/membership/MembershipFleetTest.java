package org.pomelohollow.decision.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pomelohollow.junit.MembershipSimulation;

/**
 * Checks how rosters react to the loss of racks and of availability zones in a fleet of 7 zones.
 */
class MembershipFleetTest {
  private static final int ZONES = 7;
  private static final int MEMBERS = 70;
  private static final Duration DETECTION_BOUND = Duration.ofSeconds(3);
  private static final Duration CONVERGENCE_BOUND = Duration.ofSeconds(6);

  @Property(seed = "31", tries = 8)
  void noDaemonRoutesToALostRack(@ForAll long seed) {
    MembershipSimulation f = started(seed);
    IntStream.range(40, 52).forEach(f::crash);
    f.runFor(DETECTION_BOUND);
    assertEquals(0, IntStream.range(40, 52).mapToLong(f::countDaemonsRoutingTo).sum());
    f.runFor(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
  }

  @Property(seed = "32", tries = 2)
  void aZoneThatIsCutOffForMinutesReturns(@ForAll long seed) {
    MembershipSimulation f = started(seed);
    IntPredicate inside = k -> k % ZONES == 2;
    f.setPartition((from, to) -> inside.test(from) != inside.test(to));
    f.runFor(Duration.ofSeconds(15));
    assertTrue(f.isConverged(inside) && f.isConverged(inside.negate()));
    f.runFor(Duration.ofMinutes(2));
    f.crash(9);
    f.runFor(Duration.ofMinutes(1));
    assertTrue(f.isConverged(inside) && f.isConverged(inside.negate()));
    f.setPartition((from, to) -> false);
    f.runFor(Duration.ofSeconds(10));
    assertTrue(f.isConverged());
  }

  @Property(seed = "33", tries = 4)
  void partitionedRegionsMergeAgain(@ForAll long seed) {
    MembershipSimulation f = started(seed);
    IntPredicate inside = k -> k % ZONES < 3;
    f.setPartition((from, to) -> inside.test(from) != inside.test(to));
    f.runFor(Duration.ofSeconds(15));
    assertTrue(f.isConverged(inside) && f.isConverged(inside.negate()));
    f.setPartition((from, to) -> false);
    f.runFor(Duration.ofSeconds(10));
    assertTrue(f.isConverged());
  }

  @Property(seed = "34", tries = 4)
  void zonesThatLoseOneOfTheirLinksStayInTheRoster(@ForAll long seed) {
    MembershipSimulation f = started(seed);
    f.setPartition((from, to) -> from % ZONES == 1 && to % ZONES == 4);
    for (int step = 0; step < 100; step++) {
      f.runFor(Duration.ofMillis(200));
      assertTrue(f.running().filter(k -> k % ZONES == 0).allMatch(k -> size(f, k) == MEMBERS));
    }
  }

  private static int size(MembershipSimulation f, int k) {
    return f.daemon(k).roster().members().size();
  }

  private static MembershipSimulation started(long seed) {
    MembershipSimulation f = new MembershipSimulation(ZONES, 12, seed);
    f.start(MEMBERS);
    f.runFor(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
    return f;
  }
}
