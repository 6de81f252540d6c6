package org.pomelohollow.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.pomelohollow.model.MemberId;

/**
 * Guards against shares that end, or refusals that stop, when the home of a service's demand is
 * lost, the fleet is partitioned, or replies stay away.
 */
class ShareFailureTest {
  private static final int SEED = 9;

  private final ShareSimulation simulation =
      new ShareSimulation(SEED, AccountShareTest.IN_EFFECT).addRoute("r", 1, 1_500);

  @Test
  void nextHomeTakesOverWhenTheHomeIsLost() {
    AccountShareTest.flood(simulation, t -> 2.0, "r");
    simulation.at(
        5,
        () -> {
          MemberId home = homes().iterator().next();
          simulation.stopped.add(home);
          // Members are declared dead about 2 s after they stopped.
          simulation.at(simulation.seconds() + 2, simulation::publishRosters);
        });
    Map<String, ShareResult> r = simulation.run(14);
    assertEquals(1, homes().size());
    assertTrue(simulation.stopped.stream().noneMatch(homes()::contains), homes().toString());
    assertTrue(
        r.get("big").servedShare() <= 0.4 * AccountShareTest.worstOther(r),
        r.get("big").toString());
  }

  @Test
  void eachSideOfAPartitionHasAHomeAndKeepsItsShares() {
    AccountShareTest.flood(simulation, t -> 2.0, "r");
    // A third of the targets and entries is cut off from the others for the rest of the play.
    simulation.at(
        4,
        () -> {
          simulation.reaches = (a, b) -> side(a) == side(b);
          simulation.at(6, simulation::publishRosters);
        });
    Map<String, ShareResult> r = simulation.run(14);
    assertEquals(2, homes().size());
    assertTrue(
        r.get("big").servedShare() <= 0.45 * AccountShareTest.worstOther(r),
        r.get("big").toString());
  }

  @Test
  void accountsAreRefusedAlikeTwoSecondsAfterTheLastReply() {
    AccountShareTest.flood(simulation, t -> 2.0, "r");
    // All messages to peers are lost from the start; links of requests go on.
    simulation.dropsMessages = true;
    Map<String, ShareResult> r = simulation.run(10);
    double big = r.get("big").servedShare();
    double worst = AccountShareTest.worstOther(r);
    assertTrue(big >= 0.75 * worst && big <= 1.3 * worst, big + " and " + worst);
    assertTrue(
        simulation.logLines.stream().anyMatch(l -> l.contains("no demand of the fleet known")),
        "no log line on the fallback");
    assertTrue(simulation.logLines.size() <= 4 * ShareSimulation.DAEMONS, "too many log lines");
  }

  @Test
  void sharesAreBackWithinASecondAfterAnOutageOfReplies() {
    AccountShareTest.flood(simulation, t -> 2.0, "r");
    simulation.dropsMessages = true;
    simulation.at(3, () -> simulation.dropsMessages = false);
    Map<String, ShareResult> r = simulation.run(12);
    assertTrue(
        r.get("big").servedShare() <= 0.35 * AccountShareTest.worstOther(r),
        r.get("big").toString());
  }

  private static boolean side(MemberId id) {
    return Integer.parseInt(id.host().substring(1)) % 3 == 0;
  }

  private Set<MemberId> homes() {
    return simulation.daemons.stream()
        .filter(d -> !simulation.stopped.contains(d.id()))
        .filter(ShareDaemon::isHome)
        .map(ShareDaemon::id)
        .collect(Collectors.toSet());
  }
}
