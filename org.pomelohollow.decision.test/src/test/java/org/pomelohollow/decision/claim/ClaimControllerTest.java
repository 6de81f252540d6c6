package org.pomelohollow.decision.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ServiceId;

class ClaimControllerTest {
  private static final int CONCURRENT_KEYS = 200;

  private final ClaimSimulation simulation = new ClaimSimulation(new SplittableRandom(1), 9);

  /** Sends a request and returns the result of its claim, which must come within 1.5 s. */
  private ClaimResult send(ClaimSimulation.Daemon d, String key, long runMs) {
    int earlier = simulation.results.size();
    simulation.send(d, key, ClaimState.RAN, runMs);
    simulation.run(1_500);
    assertEquals(earlier + 1, simulation.results.size(), "results");
    return simulation.results.get(earlier);
  }

  private ClaimSimulation.Daemon daemon(int host) {
    return simulation.live().stream().filter(d -> d.host == host).findFirst().orElseThrow();
  }

  private List<MemberId> witnesses(String key) {
    int shard = new ClaimKey(Optional.empty(), new ServiceId("s"), key).shard();
    List<RingMember> ring =
        simulation.live().stream().map(d -> new RingMember(d.id, d.member().zone())).toList();
    return new RendezvousHash(ring).witnesses(shard);
  }

  private void crash(MemberId id) {
    simulation.daemons.stream().filter(d -> d.id.equals(id)).forEach(d -> d.alive = false);
  }

  private ClaimSimulation.Daemon anyDaemonExceptWitnessesOf(String key) {
    List<MemberId> k = witnesses(key);
    return simulation.live().stream().filter(d -> !k.contains(d.id)).findFirst().orElseThrow();
  }

  @Example
  void aResendThroughAnyDaemonFindsTheFirstClaim() {
    simulation.run(3_000);
    assertInstanceOf(ClaimResult.Granted.class, send(daemon(0), "k", 60_000));
    for (int h = 0; h < 9; h++) {
      ClaimResult.Taken t = (ClaimResult.Taken) send(daemon(h), "k", 0);
      assertEquals(ClaimState.RUNNING, t.claim().state());
      assertTrue(t.executorAlive());
    }
  }

  @Example
  void concurrentResendsRunAtMostOnce() {
    simulation.run(3_000);
    for (int h = 0; h < 9; h++) {
      simulation.send(daemon(h), "k", ClaimState.RAN, 100);
    }
    simulation.run(2_000);
    assertEquals(9, simulation.results.size());
    assertTrue(simulation.runs.getOrDefault("k", List.of()).size() <= 1);
  }

  @Example
  void oneOfConcurrentResendsRuns() {
    simulation.run(3_000);
    for (int i = 0; i < CONCURRENT_KEYS; i++) {
      String key = "crossed" + i;
      for (int h = 0; h < 3; h++) {
        simulation.send(daemon((i + h * 3) % 9), key, ClaimState.RAN, 100);
      }
      simulation.run(2_000);
      assertEquals(1, simulation.runs.getOrDefault(key, List.of()).size(), key);
    }
    assertEquals(CONCURRENT_KEYS * 3, simulation.results.size());
  }

  @Example
  void aResendAfterTheExecutorCrashedFindsADeadExecutor() {
    simulation.run(3_000);
    ClaimSimulation.Daemon e = anyDaemonExceptWitnessesOf("k");
    assertInstanceOf(ClaimResult.Granted.class, send(e, "k", 10_000));
    e.alive = false;
    simulation.run(3_000);
    ClaimResult.Taken t = (ClaimResult.Taken) send(simulation.live().get(0), "k", 0);
    assertTrue(!t.executorAlive());
  }

  @Example
  void aClaimIsGrantedWithoutOneWitnessButNotWithoutTwo() {
    simulation.run(3_000);
    List<MemberId> k = witnesses("k");
    ClaimSimulation.Daemon e = anyDaemonExceptWitnessesOf("k");
    simulation.logUp = false;
    crash(k.get(0));
    assertInstanceOf(ClaimResult.Granted.class, send(e, "k", 10));
    crash(k.get(1));
    assertEquals(
        new ClaimResult.Refused(ErrorCode.CLAIM_UNAVAILABLE),
        send(e, "another-" + suffixForShardOf("k"), 10));
  }

  /** Returns a suffix with which the key "another-" + suffix is in the shard of the given key. */
  private static String suffixForShardOf(String key) {
    ServiceId s = new ServiceId("s");
    int shard = new ClaimKey(Optional.empty(), s, key).shard();
    int i = 0;
    while (new ClaimKey(Optional.empty(), s, "another-" + i).shard() != shard) {
      i++;
    }
    return String.valueOf(i);
  }

  @Example
  void aRollingRestartLosesNoClaimAndRefusesNothing() {
    simulation.run(3_000);
    assertInstanceOf(ClaimResult.Granted.class, send(daemon(0), "k", 10));
    for (int h = 0; h < 9; h++) {
      ClaimSimulation.Daemon d = daemon(h);
      d.leaving = true;
      simulation.run(1_500);
      assertTrue(d.controller.canLeave(), "host " + h);
      d.alive = false;
      simulation.start(h);
      simulation.run(500);
      assertInstanceOf(ClaimResult.Granted.class, send(daemon(h), "new" + h, 10));
    }
    assertInstanceOf(ClaimResult.Taken.class, send(daemon(4), "new8", 0));
  }

  @Example
  void afterALossOfAllDaemonsClaimsAreRefusedUntilTheWindowHasPassed() {
    simulation.run(3_000);
    assertInstanceOf(ClaimResult.Granted.class, send(daemon(0), "k", 10));
    simulation.live().forEach(d -> d.alive = false);
    for (int h = 0; h < 9; h++) {
      simulation.start(h);
    }
    simulation.run(5_000);
    assertInstanceOf(ClaimResult.Refused.class, send(daemon(0), "k", 10));
    simulation.run(20_000);
    assertInstanceOf(ClaimResult.Granted.class, send(daemon(0), "k", 10));
  }

  @Example
  void anExecutorPausedPastTheWindowDoesNotRun() {
    simulation.run(3_000);
    ClaimSimulation.Daemon e = anyDaemonExceptWitnessesOf("k");
    simulation.send(e, "k", ClaimState.RAN, 10);
    e.pausedUntilNanos = simulation.nowNanos + 2 * ClaimSimulation.SETTINGS.windowNanos();
    simulation.run(30_000);
    ClaimSimulation.Daemon other =
        simulation.live().stream().filter(d -> d != e).findFirst().orElseThrow();
    assertInstanceOf(ClaimResult.Granted.class, send(other, "k", 10));
    simulation.run(30_000);
    assertEquals(1, simulation.runs.get("k").size());
  }

  @Example
  void aReleasedKeyCanBeClaimedAtOnce() {
    simulation.run(3_000);
    simulation.send(daemon(0), "k", ClaimState.RELEASED, 0);
    simulation.run(100);
    assertInstanceOf(ClaimResult.Granted.class, send(daemon(1), "k", 10));
  }

  @Example
  void aClaimCostsOneRoundTripToEachWitness() {
    simulation.run(10_000);
    ClaimSimulation.Daemon e = anyDaemonExceptWitnessesOf("k");
    int before = simulation.messagesSent;
    simulation.send(e, "k", ClaimState.RAN, 20);
    long start = simulation.nowNanos;
    simulation.run(100);
    assertEquals(12, simulation.messagesSent - before);
    assertTrue(
        simulation.runs.get("k").get(0).startedNanos() - start <= 8 * ClaimSimulation.NANOS_PER_MS);
  }
}
