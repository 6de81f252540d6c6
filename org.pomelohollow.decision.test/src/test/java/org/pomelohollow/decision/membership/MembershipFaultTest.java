package org.pomelohollow.decision.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.pomelohollow.junit.MembershipSimulation;
import org.pomelohollow.model.MemberId;

/**
 * Checks how rosters react to faults of single daemons, of links and of the log, within the time
 * bounds of the design note.
 */
class MembershipFaultTest {
  private static final Duration DETECTION_BOUND = Duration.ofSeconds(3);
  private static final Duration CONVERGENCE_BOUND = Duration.ofSeconds(6);

  @Property(seed = "11", tries = 25)
  void noDaemonRoutesToACrashedMember(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int n, @ForAll boolean refusals) {
    MembershipSimulation f = started(n, seed);
    f.setConnectionsRefused(refusals);
    f.setLoss(0.05);
    f.crash(n - 1);
    f.runFor(DETECTION_BOUND);
    assertEquals(0, f.countDaemonsRoutingTo(n - 1));
  }

  @Property(seed = "12", tries = 25)
  void aLeavingMemberGetsNoNewWork(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int n, @ForAll boolean targetOnly) {
    MembershipSimulation f = started(n, seed);
    f.setLoss(0.1);
    if (targetOnly) {
      f.setDraining(n - 1, true);
    } else {
      f.requestShutdown(n - 1);
    }
    f.runFor(DETECTION_BOUND);
    assertEquals(0, f.countDaemonsRoutingTo(n - 1));
  }

  @Property(seed = "13", tries = 4)
  void noLiveMemberIsRemovedUnderLoss(@ForAll long seed) {
    MembershipSimulation f = started(64, seed);
    f.setLoss(0.05);
    for (int step = 0; step < 300; step++) {
      f.runFor(Duration.ofMillis(200));
      assertTrue(f.isConverged(), "step " + step);
    }
  }

  @Property(seed = "14", tries = 25)
  void aMemberThatLeftOrWasReplacedIsNotReadmitted(@ForAll long seed) {
    MembershipSimulation f = started(16, seed);
    f.setLoss(0.1);
    f.pause(5, Duration.ofSeconds(20));
    f.requestShutdown(9);
    f.runFor(DETECTION_BOUND);
    f.crash(9);
    f.restart(10);
    f.runFor(DETECTION_BOUND);
    for (int step = 0; step < 150; step++) {
      f.runFor(Duration.ofMillis(200));
      assertEquals(0, f.countDaemonsRoutingTo(9), "step " + step);
    }
    f.setLoss(0);
    f.runFor(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
  }

  @Property(seed = "15", tries = 25)
  void aNewIncarnationReplacesTheOldOneInAllRosters(@ForAll long seed) {
    MembershipSimulation f = started(12, seed);
    MemberId old = f.id(7);
    f.restart(7);
    f.runFor(Duration.ofSeconds(4));
    assertTrue(f.isConverged());
    assertTrue(f.running().allMatch(k -> f.daemon(k).roster().find(old).isEmpty()));
  }

  @Property(seed = "16", tries = 25)
  void aDaemonThatWasPausedDoesNotUseItsOldRoster(@ForAll long seed) {
    MembershipSimulation f = started(16, seed);
    f.pause(3, Duration.ofSeconds(30));
    f.runFor(Duration.ofSeconds(10));
    f.crash(8);
    f.setPartition((from, to) -> from == 3 || to == 3);
    f.runFor(Duration.ofMillis(20_100));
    assertEquals(1, f.daemon(3).roster().members().size());
    f.setPartition((from, to) -> false);
    for (int step = 0; step < 60; step++) {
      f.runFor(Duration.ofMillis(50));
      assertFalse(f.canRoute(3, 8));
      assertTrue(f.running().allMatch(k -> k == 3 || routesToAllBut(f, k, 3)));
    }
    f.runFor(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
  }

  @Property(seed = "17", tries = 15)
  void seedsAloneJoinTheFleetWhileTheLogIsOut(@ForAll long seed) {
    MembershipSimulation f = new MembershipSimulation(3, 3, seed);
    f.setLogAvailable(false);
    f.start(12);
    f.runFor(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
    f.runFor(Duration.ofMinutes(3));
    assertTrue(f.isConverged());
  }

  @Property(seed = "18", tries = 15)
  void theLogAloneJoinsTheFleetWithoutItsSeeds(@ForAll long seed) {
    MembershipSimulation f = started(12, seed);
    IntStream.range(0, 3).forEach(f::crash);
    f.start(2);
    f.runFor(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
  }

  @Property(seed = "19", tries = 5)
  void anOutageAndExpiryOfTheLogRemoveNobody(@ForAll long seed) {
    MembershipSimulation f = started(12, seed);
    f.setLogAvailable(false);
    f.runFor(Duration.ofMinutes(30));
    assertTrue(f.isConverged());
    f.expireLog();
    f.setLogAvailable(true);
    f.runFor(Duration.ofMinutes(3));
    assertTrue(f.isConverged());
    f.start(1);
    f.runFor(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
  }

  @Property(seed = "20", tries = 25)
  void aCutBetweenTwoMembersMakesThemUnreachableOnlyToEachOther(
      @ForAll long seed, @ForAll boolean bothWays) {
    MembershipSimulation f = started(16, seed);
    f.setPartition((from, to) -> (from == 4 && to == 5) || (bothWays && from == 5 && to == 4));
    for (int step = 0; step < 100; step++) {
      f.daemon(4).controller().recordUse(f.id(5), f.nowNanos());
      f.daemon(5).controller().recordUse(f.id(4), f.nowNanos());
      f.runFor(Duration.ofMillis(200));
      assertTrue(routesToAllBut(f, 4, 5) && routesToAllBut(f, 5, 4));
      assertTrue(f.running().allMatch(k -> k == 4 || k == 5 || routesToAllBut(f, k, k)));
      assertTrue(step < 15 || (!f.canRoute(4, 5) && !f.canRoute(5, 4)), "step " + step);
    }
    f.setPartition((from, to) -> false);
    f.runFor(Duration.ofSeconds(10));
    assertTrue(f.isConverged());
  }

  private static boolean routesToAllBut(MembershipSimulation f, int k, int excepted) {
    return f.running().allMatch(o -> o == k || o == excepted || f.canRoute(k, o));
  }

  private static MembershipSimulation started(int n, long seed) {
    MembershipSimulation f = new MembershipSimulation(3, 3, seed);
    f.start(n);
    f.runFor(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
    return f;
  }
}
