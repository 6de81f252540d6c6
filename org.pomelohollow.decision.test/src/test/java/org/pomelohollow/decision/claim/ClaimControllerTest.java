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
  private static final int CROSSED_KEYS = 200;

  private final ClaimWorld w = new ClaimWorld(new SplittableRandom(1), 9);

  private ClaimAnswer send(ClaimWorld.Daemon d, String key, long runMs) {
    int n = w.answers.size();
    w.send(d, key, ClaimState.RAN, runMs);
    w.run(1_500);
    assertEquals(n + 1, w.answers.size(), "answers");
    return w.answers.get(n);
  }

  private ClaimWorld.Daemon daemon(int host) {
    return w.live().stream().filter(d -> d.host == host).findFirst().orElseThrow();
  }

  private List<MemberId> witnesses(String key) {
    int shard = new ClaimKey(Optional.empty(), new ServiceId("s"), key).shard();
    List<RingMember> ring =
        w.live().stream().map(d -> new RingMember(d.id, d.member().zone())).toList();
    return new Rendezvous(ring).witnesses(shard);
  }

  private void crash(MemberId id) {
    w.daemons.stream().filter(d -> d.id.equals(id)).forEach(d -> d.alive = false);
  }

  private ClaimWorld.Daemon noWitnessOf(String key) {
    List<MemberId> k = witnesses(key);
    return w.live().stream().filter(d -> !k.contains(d.id)).findFirst().orElseThrow();
  }

  @Example
  void aResendAnywhereMeetsTheFirstOne() {
    w.run(3_000);
    assertInstanceOf(ClaimAnswer.Granted.class, send(daemon(0), "k", 60_000));
    for (int h = 0; h < 9; h++) {
      ClaimAnswer.Taken t = (ClaimAnswer.Taken) send(daemon(h), "k", 0);
      assertEquals(ClaimState.RUNNING, t.claim().state());
      assertTrue(t.executorAlive());
    }
  }

  @Example
  void crossedResendsRunOnce() {
    w.run(3_000);
    for (int h = 0; h < 9; h++) {
      w.send(daemon(h), "k", ClaimState.RAN, 100);
    }
    w.run(2_000);
    assertEquals(9, w.answers.size());
    assertTrue(w.runs.getOrDefault("k", List.of()).size() <= 1);
  }

  @Example
  void oneOfCrossedResendsRuns() {
    w.run(3_000);
    for (int i = 0; i < CROSSED_KEYS; i++) {
      String key = "crossed" + i;
      for (int h = 0; h < 3; h++) {
        w.send(daemon((i + h * 3) % 9), key, ClaimState.RAN, 100);
      }
      w.run(2_000);
      assertEquals(1, w.runs.getOrDefault(key, List.of()).size(), key);
    }
    assertEquals(CROSSED_KEYS * 3, w.answers.size());
  }

  @Example
  void aResendAfterTheExecutorDiedIsToldThatItMayHaveRun() {
    w.run(3_000);
    ClaimWorld.Daemon e = noWitnessOf("k");
    assertInstanceOf(ClaimAnswer.Granted.class, send(e, "k", 10_000));
    e.alive = false;
    w.run(3_000);
    ClaimAnswer.Taken t = (ClaimAnswer.Taken) send(w.live().get(0), "k", 0);
    assertTrue(!t.executorAlive());
  }

  @Example
  void oneWitnessMayBeGoneAndWithTwoGoneNothingRuns() {
    w.run(3_000);
    List<MemberId> k = witnesses("k");
    ClaimWorld.Daemon e = noWitnessOf("k");
    w.logUp = false;
    crash(k.get(0));
    assertInstanceOf(ClaimAnswer.Granted.class, send(e, "k", 10));
    crash(k.get(1));
    assertEquals(
        new ClaimAnswer.Refused(ErrorCode.CLAIM_UNAVAILABLE), send(e, "another-" + same("k"), 10));
  }

  /** Finds a suffix that puts a key into the shard of another. */
  private static String same(String key) {
    ServiceId s = new ServiceId("s");
    int shard = new ClaimKey(Optional.empty(), s, key).shard();
    int i = 0;
    while (new ClaimKey(Optional.empty(), s, "another-" + i).shard() != shard) {
      i++;
    }
    return String.valueOf(i);
  }

  @Example
  void aRestartOfEveryDaemonInTurnLosesNoClaimAndRefusesNothing() {
    w.run(3_000);
    assertInstanceOf(ClaimAnswer.Granted.class, send(daemon(0), "k", 10));
    for (int h = 0; h < 9; h++) {
      ClaimWorld.Daemon d = daemon(h);
      d.leaving = true;
      w.run(1_500);
      assertTrue(d.controller.canLeave(), "host " + h);
      d.alive = false;
      w.start(h);
      w.run(500);
      assertInstanceOf(ClaimAnswer.Granted.class, send(daemon(h), "new" + h, 10));
    }
    assertInstanceOf(ClaimAnswer.Taken.class, send(daemon(4), "new8", 0));
  }

  @Example
  void aFleetThatLostItsMemoryWaitsForTheWindow() {
    w.run(3_000);
    assertInstanceOf(ClaimAnswer.Granted.class, send(daemon(0), "k", 10));
    w.live().forEach(d -> d.alive = false);
    for (int h = 0; h < 9; h++) {
      w.start(h);
    }
    w.run(5_000);
    assertInstanceOf(ClaimAnswer.Refused.class, send(daemon(0), "k", 10));
    w.run(20_000);
    assertInstanceOf(ClaimAnswer.Granted.class, send(daemon(0), "k", 10));
  }

  @Example
  void anExecutorPausedPastTheWindowDoesNotRun() {
    w.run(3_000);
    ClaimWorld.Daemon e = noWitnessOf("k");
    w.send(e, "k", ClaimState.RAN, 10);
    e.pausedUntil = w.now + 2 * ClaimWorld.SETTINGS.windowNanos();
    w.run(30_000);
    ClaimWorld.Daemon other = w.live().stream().filter(d -> d != e).findFirst().orElseThrow();
    assertInstanceOf(ClaimAnswer.Granted.class, send(other, "k", 10));
    w.run(30_000);
    assertEquals(1, w.runs.get("k").size());
  }

  @Example
  void aReleasedClaimIsFreeAtOnce() {
    w.run(3_000);
    w.send(daemon(0), "k", ClaimState.RELEASED, 0);
    w.run(100);
    assertInstanceOf(ClaimAnswer.Granted.class, send(daemon(1), "k", 10));
  }

  @Example
  void aClaimCostsOneRoundTripToEachWitness() {
    w.run(10_000);
    ClaimWorld.Daemon e = noWitnessOf("k");
    int before = w.messages;
    w.send(e, "k", ClaimState.RAN, 20);
    long start = w.now;
    w.run(100);
    assertEquals(12, w.messages - before);
    assertTrue(w.runs.get("k").get(0).ranNanos() - start <= 8 * ClaimWorld.MS);
  }
}
