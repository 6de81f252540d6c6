package org.pomelohollow.decision.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Verdict;

class QuarantineTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  @Property(seed = "64", tries = 200)
  void atMostTwoTargetsCrashAndOtherRequestsSucceed(@ForAll long seed) {
    QuarantineSimulation sim = new QuarantineSimulation(seed);
    int crashingInterval = 2 + sim.random.nextInt(20);
    int popularCount = 1 + sim.random.nextInt(30);
    List<QuarantineSimulation.SimulatedRequest> harmless = new ArrayList<>();
    Optional<QuarantineSimulation.SimulatedRequest> crashing = Optional.empty();
    for (int step = 0; step < 3_000; step++) {
      harmless.add(sim.send(step % 2 == 0 ? 1 + step % popularCount : 1_000 + step, 4));
      if (step >= 50
          && step % crashingInterval == 0
          && crashing.filter(p -> !p.hasEnded()).isEmpty()) {
        crashing = Optional.of(sim.send(QuarantineSimulation.CRASHING_FINGERPRINT, 3));
      }
      sim.step();
      assertTrue(sim.daemons.stream().anyMatch(d -> d.targetUp), "the service is down");
    }
    assertTrue(sim.crashCount <= 2 && sim.crashCount >= 1, sim.crashCount + " crashes");
    long slowestNanos = 0;
    int failed = 0;
    int quarantined = 0;
    for (QuarantineSimulation.SimulatedRequest s : harmless) {
      slowestNanos = Math.max(slowestNanos, s.endedNanos.orElse(sim.nowNanos) - s.startedNanos);
      failed += s.verdict.isPresent() ? 1 : 0;
      quarantined +=
          sim.anyDaemon()
                  .quarantine
                  .remainingQuarantineMillis(s.fingerprint, sim.nowNanos)
                  .isPresent()
              ? 1
              : 0;
    }
    assertEquals(0, quarantined, "harmless fingerprints in quarantine");
    assertTrue(
        slowestNanos <= 10 * NANOS_PER_SECOND, "a harmless request took " + slowestNanos + " ns");
    assertTrue(failed <= harmless.size() / 100, failed + " harmless requests failed");
  }

  @Example
  void quarantineSpreadsToAllDaemonsAndExpires() {
    QuarantineSimulation sim = new QuarantineSimulation(1);
    for (int i = 0; i < 100; i++) {
      if (i % 20 == 0) {
        sim.send(QuarantineSimulation.CRASHING_FINGERPRINT, 3);
      }
      sim.step();
    }
    assertEquals(2, sim.crashCount);
    for (QuarantineSimulation.Daemon d : sim.daemons) {
      assertTrue(
          d.quarantine
              .remainingQuarantineMillis(QuarantineSimulation.CRASHING_FINGERPRINT, sim.nowNanos)
              .isPresent());
    }
    QuarantineSimulation.SimulatedRequest refused =
        sim.send(QuarantineSimulation.CRASHING_FINGERPRINT, 1);
    sim.step();
    assertEquals(ErrorCode.QUARANTINED, ((Verdict.NotRun) refused.verdict.orElseThrow()).code());
    sim.crashing = false;
    sim.nowNanos += QuarantineSettings.DEFAULT.quarantineNanos();
    for (int i = 0; i < 400; i++) {
      sim.step();
    }
    QuarantineSimulation.SimulatedRequest again =
        sim.send(QuarantineSimulation.CRASHING_FINGERPRINT, 1);
    for (int i = 0; i < 10; i++) {
      sim.step();
    }
    assertTrue(again.hasResponse());
  }

  @Example
  void aSuspectThatCompletesIsClearedAtAllDaemons() {
    QuarantineSimulation sim = new QuarantineSimulation(2);
    sim.send(QuarantineSimulation.CRASHING_FINGERPRINT, 1);
    for (int i = 0; i < 20; i++) {
      sim.step();
    }
    assertEquals(1, sim.crashCount);
    assertTrue(
        sim.daemons.stream()
            .allMatch(
                d ->
                    d.quarantine.isSuspect(
                        QuarantineSimulation.CRASHING_FINGERPRINT, sim.nowNanos)));
    sim.crashing = false;
    sim.send(QuarantineSimulation.CRASHING_FINGERPRINT, 3);
    for (int i = 0; i < 20; i++) {
      sim.step();
    }
    assertTrue(
        sim.daemons.stream()
            .noneMatch(
                d ->
                    d.quarantine.isSuspect(
                        QuarantineSimulation.CRASHING_FINGERPRINT, sim.nowNanos)));
  }

  @Example
  void theTableIsBoundedAndKeepsTheSuspectsWithTheMostCrashes() {
    SuspectTable t = new SuspectTable(2);
    TargetCrash a = new TargetCrash(new MemberId("a", 1), 0);
    t.add(1, Set.of(a), 100, 0);
    t.add(2, Set.of(), 200, 0);
    t.add(3, Set.of(), 300, 0);
    assertEquals(2, t.size());
    assertTrue(t.contains(1, 0) && t.contains(3, 0));
    t.removeExpired(100);
    assertTrue(!t.contains(1, 100));
  }
}
