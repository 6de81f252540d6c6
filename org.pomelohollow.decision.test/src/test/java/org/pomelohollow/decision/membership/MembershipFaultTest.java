package org.pomelohollow.decision.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.pomelohollow.junit.MemberFleet;
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
    MemberFleet f = started(n, seed);
    f.setRefusals(refusals);
    f.setLoss(0.05);
    f.crash(n - 1);
    f.run(DETECTION_BOUND);
    assertEquals(0, f.countRouting(n - 1));
  }

  @Property(seed = "12", tries = 25)
  void aLeavingMemberGetsNoNewWork(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int n, @ForAll boolean targetOnly) {
    MemberFleet f = started(n, seed);
    f.setLoss(0.1);
    if (targetOnly) {
      f.setDraining(n - 1, true);
    } else {
      f.stop(n - 1);
    }
    f.run(DETECTION_BOUND);
    assertEquals(0, f.countRouting(n - 1));
  }

  @Property(seed = "13", tries = 4)
  void noLiveMemberIsRemovedUnderLoss(@ForAll long seed) {
    MemberFleet f = started(64, seed);
    f.setLoss(0.05);
    for (int step = 0; step < 300; step++) {
      f.run(Duration.ofMillis(200));
      assertTrue(f.isConverged(), "step " + step);
    }
  }

  @Property(seed = "14", tries = 25)
  void aMemberThatLeftOrWasReplacedIsNotReadmitted(@ForAll long seed) {
    MemberFleet f = started(16, seed);
    f.setLoss(0.1);
    f.pause(5, Duration.ofSeconds(20));
    f.stop(9);
    f.run(DETECTION_BOUND);
    f.crash(9);
    f.replace(10);
    f.run(DETECTION_BOUND);
    for (int step = 0; step < 150; step++) {
      f.run(Duration.ofMillis(200));
      assertEquals(0, f.countRouting(9), "step " + step);
    }
    f.setLoss(0);
    f.run(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
  }

  @Property(seed = "15", tries = 25)
  void aNewIncarnationReplacesTheOldOneInAllRosters(@ForAll long seed) {
    MemberFleet f = started(12, seed);
    MemberId old = f.id(7);
    f.replace(7);
    f.run(Duration.ofSeconds(4));
    assertTrue(f.isConverged());
    assertTrue(f.running().allMatch(k -> f.daemon(k).roster().find(old).isEmpty()));
  }

  @Property(seed = "16", tries = 25)
  void aDaemonThatWasPausedDoesNotUseItsOldRoster(@ForAll long seed) {
    MemberFleet f = started(16, seed);
    f.pause(3, Duration.ofSeconds(30));
    f.run(Duration.ofSeconds(10));
    f.crash(8);
    f.setCut((from, to) -> from == 3 || to == 3);
    f.run(Duration.ofMillis(20_100));
    assertEquals(1, f.daemon(3).roster().members().size());
    f.setCut((from, to) -> false);
    for (int step = 0; step < 60; step++) {
      f.run(Duration.ofMillis(50));
      assertFalse(f.routes(3, 8));
      assertTrue(f.running().allMatch(k -> k == 3 || routesToAllBut(f, k, 3)));
    }
    f.run(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
  }

  @Property(seed = "17", tries = 15)
  void seedsAloneJoinTheFleetWhileTheLogIsOut(@ForAll long seed) {
    MemberFleet f = new MemberFleet(3, 3, seed);
    f.setLogUp(false);
    f.start(12);
    f.run(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
    f.run(Duration.ofMinutes(3));
    assertTrue(f.isConverged());
  }

  @Property(seed = "18", tries = 15)
  void theLogAloneJoinsTheFleetWithoutItsSeeds(@ForAll long seed) {
    MemberFleet f = started(12, seed);
    IntStream.range(0, 3).forEach(f::crash);
    f.start(2);
    f.run(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
  }

  @Property(seed = "19", tries = 5)
  void anOutageAndExpiryOfTheLogRemoveNobody(@ForAll long seed) {
    MemberFleet f = started(12, seed);
    f.setLogUp(false);
    f.run(Duration.ofMinutes(30));
    assertTrue(f.isConverged());
    f.expireLog();
    f.setLogUp(true);
    f.run(Duration.ofMinutes(3));
    assertTrue(f.isConverged());
    f.start(1);
    f.run(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
  }

  @Property(seed = "20", tries = 25)
  void aCutBetweenTwoMembersMakesThemUnreachableOnlyToEachOther(
      @ForAll long seed, @ForAll boolean bothWays) {
    MemberFleet f = started(16, seed);
    f.setCut((from, to) -> (from == 4 && to == 5) || (bothWays && from == 5 && to == 4));
    for (int step = 0; step < 100; step++) {
      f.daemon(4).controller().recordUse(f.id(5), f.nowNanos());
      f.daemon(5).controller().recordUse(f.id(4), f.nowNanos());
      f.run(Duration.ofMillis(200));
      assertTrue(routesToAllBut(f, 4, 5) && routesToAllBut(f, 5, 4));
      assertTrue(f.running().allMatch(k -> k == 4 || k == 5 || routesToAllBut(f, k, k)));
      assertTrue(step < 15 || (!f.routes(4, 5) && !f.routes(5, 4)), "step " + step);
    }
    f.setCut((from, to) -> false);
    f.run(Duration.ofSeconds(10));
    assertTrue(f.isConverged());
  }

  private static boolean routesToAllBut(MemberFleet f, int k, int excepted) {
    return f.running().allMatch(o -> o == k || o == excepted || f.routes(k, o));
  }

  private static MemberFleet started(int n, long seed) {
    MemberFleet f = new MemberFleet(3, 3, seed);
    f.start(n);
    f.run(CONVERGENCE_BOUND);
    assertTrue(f.isConverged());
    return f;
  }
}
