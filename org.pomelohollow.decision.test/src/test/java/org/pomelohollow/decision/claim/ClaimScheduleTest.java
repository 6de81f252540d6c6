package org.pomelohollow.decision.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Random schedules of faults and resends: no request runs twice within the claim window. */
class ClaimScheduleTest {
  private static final int HOSTS = 9;

  /** Raised for long runs, with {@code -Dpomelohollow.schedules=100}. */
  private static final int SCHEDULES_PER_TRY = Integer.getInteger("pomelohollow.schedules", 1);

  @Property(seed = "63", tries = 60)
  void noRequestRunsTwice(@ForAll long seed) {
    RandomGenerator seeds = new SplittableRandom(seed);
    for (int i = 0; i < SCHEDULES_PER_TRY; i++) {
      check(new SplittableRandom(seeds.nextLong()));
    }
  }

  private static void check(RandomGenerator r) {
    ClaimWorld w = new ClaimWorld(r, 3 + r.nextInt(HOSTS - 2));
    w.retained = r.nextInt(3) == 0 ? 3 : Integer.MAX_VALUE;
    w.run(3_000);
    w.loss = r.nextInt(3) * 0.05;
    for (int step = 0; step < 60; step++) {
      if (r.nextInt(3) == 0) {
        fault(w, r);
      }
      int sendings = 1 + r.nextInt(4);
      for (int i = 0; i < sendings; i++) {
        send(w, r);
      }
      w.run(r.nextInt(5) == 0 ? r.nextInt(3_000) : r.nextInt(200));
    }
    w.run(5_000);
    assertEquals(Optional.empty(), w.doubled());
    assertTrue(!w.runs.isEmpty(), "nothing ever ran");
  }

  private static void send(ClaimWorld w, RandomGenerator r) {
    List<ClaimWorld.Daemon> live = w.live();
    ClaimWorld.Daemon d = live.get(r.nextInt(live.size()));
    ClaimState end =
        switch (r.nextInt(6)) {
          case 0 -> ClaimState.UNKNOWN;
          case 1 -> ClaimState.RELEASED;
          default -> ClaimState.RAN;
        };
    String key = "k" + r.nextInt(4);
    d.whenAwake(() -> w.send(d, key, end, r.nextInt(1_000)));
  }

  private static void fault(ClaimWorld w, RandomGenerator r) {
    List<ClaimWorld.Daemon> live = w.live();
    ClaimWorld.Daemon d = live.get(r.nextInt(live.size()));
    switch (r.nextInt(9)) {
      case 0, 1 -> crash(w, d, r);
      case 2 -> d.pausedUntil = w.now + r.nextLong(30_000) * ClaimWorld.MS;
      case 3 -> w.start(HOSTS + r.nextInt(HOSTS));
      case 4, 5 -> leave(w, d, r);
      case 6 -> w.logUp = r.nextBoolean();
      case 7 -> {
        w.cutOff = someHosts(r);
        w.logCutOff = r.nextBoolean();
      }
      default -> w.cutOff = Set.of();
    }
  }

  private static void crash(ClaimWorld w, ClaimWorld.Daemon d, RandomGenerator r) {
    if (w.live().size() > 1) {
      d.alive = false;
      if (r.nextInt(4) > 0) {
        w.after(r.nextInt(3_000), () -> w.start(d.host));
      }
    }
  }

  private static void leave(ClaimWorld w, ClaimWorld.Daemon d, RandomGenerator r) {
    d.leaving = true;
    w.after(
        1_000 + r.nextInt(4_000),
        () -> {
          if (w.live().size() > 1) {
            d.alive = false;
            w.start(d.host);
          }
        });
  }

  private static Set<Integer> someHosts(RandomGenerator r) {
    Set<Integer> out = new HashSet<>();
    for (int h = 0; h < 2 * HOSTS; h++) {
      if (r.nextBoolean()) {
        out.add(h);
      }
    }
    return out;
  }
}
