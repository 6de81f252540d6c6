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
  private static final long SECOND = 1_000_000_000L;

  @Property(seed = "64", tries = 200)
  void atMostTwoTargetsDieAndTheRestGoesOn(@ForAll long seed) {
    PoisonWorld w = new PoisonWorld(seed);
    int every = 2 + w.random.nextInt(20);
    int popular = 1 + w.random.nextInt(30);
    List<PoisonWorld.Sending> innocent = new ArrayList<>();
    Optional<PoisonWorld.Sending> poison = Optional.empty();
    for (int step = 0; step < 3_000; step++) {
      innocent.add(w.send(step % 2 == 0 ? 1 + step % popular : 1_000 + step, 4));
      if (step >= 50 && step % every == 0 && poison.filter(p -> !p.isOver()).isEmpty()) {
        poison = Optional.of(w.send(PoisonWorld.POISON, 3));
      }
      w.step();
      assertTrue(w.daemons.stream().anyMatch(d -> d.up), "the service is down");
    }
    assertTrue(w.deaths <= 2 && w.deaths >= 1, w.deaths + " deaths");
    long slowest = 0;
    int failed = 0;
    int quarantined = 0;
    for (PoisonWorld.Sending s : innocent) {
      slowest = Math.max(slowest, s.endedNanos.orElse(w.now) - s.startedNanos);
      failed += s.verdict.isPresent() ? 1 : 0;
      quarantined +=
          w.anyDaemon().quarantine.remainingQuarantineMillis(s.fingerprint, w.now).isPresent()
              ? 1
              : 0;
    }
    assertEquals(0, quarantined, "innocent fingerprints in quarantine");
    assertTrue(slowest <= 10 * SECOND, "an innocent request took " + slowest + " ns");
    assertTrue(failed <= innocent.size() / 100, failed + " innocent requests failed");
  }

  @Example
  void quarantineIsToldEverywhereAndExpires() {
    PoisonWorld w = new PoisonWorld(1);
    for (int i = 0; i < 100; i++) {
      if (i % 20 == 0) {
        w.send(PoisonWorld.POISON, 3);
      }
      w.step();
    }
    assertEquals(2, w.deaths);
    for (PoisonWorld.Daemon d : w.daemons) {
      assertTrue(d.quarantine.remainingQuarantineMillis(PoisonWorld.POISON, w.now).isPresent());
    }
    PoisonWorld.Sending refused = w.send(PoisonWorld.POISON, 1);
    w.step();
    assertEquals(ErrorCode.QUARANTINED, ((Verdict.NotRun) refused.verdict.orElseThrow()).code());
    w.poisonous = false;
    w.now += QuarantineSettings.DEFAULT.quarantineNanos();
    for (int i = 0; i < 400; i++) {
      w.step();
    }
    PoisonWorld.Sending again = w.send(PoisonWorld.POISON, 1);
    for (int i = 0; i < 10; i++) {
      w.step();
    }
    assertTrue(again.isAnswered());
  }

  @Example
  void aSuspectThatCompletesIsClearedEverywhere() {
    PoisonWorld w = new PoisonWorld(2);
    w.send(PoisonWorld.POISON, 1);
    for (int i = 0; i < 20; i++) {
      w.step();
    }
    assertEquals(1, w.deaths);
    assertTrue(w.daemons.stream().allMatch(d -> d.quarantine.isSuspect(PoisonWorld.POISON, w.now)));
    w.poisonous = false;
    w.send(PoisonWorld.POISON, 3);
    for (int i = 0; i < 20; i++) {
      w.step();
    }
    assertTrue(
        w.daemons.stream().noneMatch(d -> d.quarantine.isSuspect(PoisonWorld.POISON, w.now)));
  }

  @Example
  void theTableIsBoundedAndKeepsTheMostSuspicious() {
    SuspectTable t = new SuspectTable(2);
    TargetCrash a = new TargetCrash(new MemberId("a", 1), 0);
    t.add(1, Set.of(a), 100, 0);
    t.add(2, Set.of(), 200, 0);
    t.add(3, Set.of(), 300, 0);
    assertEquals(2, t.size());
    assertTrue(t.contains(1, 0) && t.contains(3, 0));
    t.expire(100);
    assertTrue(!t.contains(1, 100));
  }
}
