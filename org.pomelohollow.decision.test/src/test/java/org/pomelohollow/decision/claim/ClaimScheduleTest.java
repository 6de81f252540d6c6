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

/**
 * Runs random schedules of faults and resends, and checks that no request runs twice within the
 * claim window.
 */
class ClaimScheduleTest {
  private static final int HOSTS = 9;

  /** Number of schedules for each try; {@code -Dpomelohollow.schedules=100} makes a long run. */
  private static final int SCHEDULES_PER_TRY = Integer.getInteger("pomelohollow.schedules", 1);

  @Property(seed = "63", tries = 60)
  void noRequestRunsTwice(@ForAll long seed) {
    RandomGenerator seeds = new SplittableRandom(seed);
    for (int i = 0; i < SCHEDULES_PER_TRY; i++) {
      check(new SplittableRandom(seeds.nextLong()));
    }
  }

  private static void check(RandomGenerator random) {
    ClaimSimulation simulation = new ClaimSimulation(random, 3 + random.nextInt(HOSTS - 2));
    simulation.retainedEntries = random.nextInt(3) == 0 ? 3 : Integer.MAX_VALUE;
    simulation.run(3_000);
    simulation.faultRate = random.nextInt(3) * 0.05;
    for (int step = 0; step < 60; step++) {
      if (random.nextInt(3) == 0) {
        fault(simulation, random);
      }
      int requests = 1 + random.nextInt(4);
      for (int i = 0; i < requests; i++) {
        send(simulation, random);
      }
      simulation.run(random.nextInt(5) == 0 ? random.nextInt(3_000) : random.nextInt(200));
    }
    simulation.run(5_000);
    assertEquals(Optional.empty(), simulation.findRepeatedRun());
    assertTrue(!simulation.runs.isEmpty(), "nothing ever ran");
  }

  private static void send(ClaimSimulation simulation, RandomGenerator random) {
    List<ClaimSimulation.Daemon> live = simulation.live();
    ClaimSimulation.Daemon d = live.get(random.nextInt(live.size()));
    ClaimState end =
        switch (random.nextInt(6)) {
          case 0 -> ClaimState.UNKNOWN;
          case 1 -> ClaimState.RELEASED;
          default -> ClaimState.RAN;
        };
    String key = "k" + random.nextInt(4);
    d.whenAwake(() -> simulation.send(d, key, end, random.nextInt(1_000)));
  }

  private static void fault(ClaimSimulation simulation, RandomGenerator random) {
    List<ClaimSimulation.Daemon> live = simulation.live();
    ClaimSimulation.Daemon d = live.get(random.nextInt(live.size()));
    switch (random.nextInt(9)) {
      case 0, 1 -> crash(simulation, d, random);
      case 2 ->
          d.pausedUntilNanos =
              simulation.nowNanos + random.nextLong(30_000) * ClaimSimulation.NANOS_PER_MS;
      case 3 -> simulation.start(HOSTS + random.nextInt(HOSTS));
      case 4, 5 -> leave(simulation, d, random);
      case 6 -> simulation.logUp = random.nextBoolean();
      case 7 -> {
        simulation.partitionedHosts = someHosts(random);
        simulation.partitionedFromLog = random.nextBoolean();
      }
      default -> simulation.partitionedHosts = Set.of();
    }
  }

  private static void crash(
      ClaimSimulation simulation, ClaimSimulation.Daemon d, RandomGenerator random) {
    if (simulation.live().size() > 1) {
      d.alive = false;
      if (random.nextInt(4) > 0) {
        simulation.after(random.nextInt(3_000), () -> simulation.start(d.host));
      }
    }
  }

  private static void leave(
      ClaimSimulation simulation, ClaimSimulation.Daemon d, RandomGenerator random) {
    d.leaving = true;
    simulation.after(
        1_000 + random.nextInt(4_000),
        () -> {
          if (simulation.live().size() > 1) {
            d.alive = false;
            simulation.start(d.host);
          }
        });
  }

  private static Set<Integer> someHosts(RandomGenerator random) {
    Set<Integer> out = new HashSet<>();
    for (int h = 0; h < 2 * HOSTS; h++) {
      if (random.nextBoolean()) {
        out.add(h);
      }
    }
    return out;
  }
}
