package org.pomelohollow.decision.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pomelohollow.junit.MembershipSimulation;

/**
 * Connections on which daemons wait for the next document fall silent without an error. Guards
 * against daemons that go on with an old document, and against a load on the store that grows with
 * the fleet.
 */
class ConfirmationTest {
  private static final int ZONES = 3;
  private static final int ROUNDS = 10;
  private static final int[] FLEETS = {1, 2, 13, 96};

  /** Time after which a version must be in force, from its publication. */
  private static final Duration APPLY_BOUND = Duration.ofSeconds(2);

  /** Time after a disturbance from which {@link #APPLY_BOUND} holds. */
  private static final Duration CONTACT = Duration.ofSeconds(3);

  /**
   * Reads in a minute that cost 3 in 100 of what the deployment with the dearest reads is worth.
   */
  private static final long MAX_READS_A_MINUTE = 700;

  @Example
  void readsOfTheStoreDoNotGrowWithTheFleet() {
    for (int members : new int[] {1, 13, 62, 77, 96}) {
      MembershipSimulation f = started(members, members);
      assertReadsBounded(f);
      f.setDocumentsReachable(k -> k % 5 != 0);
      assertReadsBounded(f);
    }
  }

  @Property(tries = 5, seed = "41")
  void aVersionIsInForceInTimeAfterEachSilence(@ForAll long seed) {
    RandomGenerator random = new SplittableRandom(seed);
    for (int members : FLEETS) {
      MembershipSimulation f = started(members, seed);
      for (int i = 0; i < ROUNDS; i++) {
        f.silenceDocuments();
        f.runFor(CONTACT.plusMillis(random.nextInt(2_000)));
        assertInForceInTime(f, k -> true);
      }
    }
  }

  @Property(tries = 5, seed = "42")
  void aVersionIsInForceInTimeWhateverElseIsDisturbed(@ForAll long seed) {
    RandomGenerator random = new SplittableRandom(seed);
    for (int members : FLEETS) {
      MembershipSimulation f = started(members, seed);
      for (int i = 0; i < ROUNDS; i++) {
        IntPredicate reachable = disturb(f, random);
        f.silenceDocuments();
        f.runFor(CONTACT.plusMillis(random.nextInt(2_000)));
        assertInForceInTime(f, reachable);
        f.setPartition((from, to) -> false);
        f.setDocumentsReachable(k -> true);
        f.runFor(CONTACT);
      }
    }
  }

  /** Starts a disturbance, and returns which daemons can reach the store during it. */
  private static IntPredicate disturb(MembershipSimulation f, RandomGenerator random) {
    int k = random.nextInt(f.size());
    switch (random.nextInt(6)) {
      case 0 -> f.setPartition((from, to) -> true);
      case 1 -> f.setPartition((from, to) -> from % 2 != to % 2);
      case 2 -> f.setPartition((from, to) -> from == k || to == k);
      case 3 -> f.restart(k);
      case 4 -> {
        f.pause(k, Duration.ofSeconds(5));
        f.runFor(Duration.ofSeconds(5));
      }
      default -> {
        IntPredicate reachable = j -> (j + k) % 3 != 0;
        f.setDocumentsReachable(reachable);
        return reachable;
      }
    }
    return j -> true;
  }

  private static void assertInForceInTime(MembershipSimulation f, IntPredicate members) {
    f.publishDocument();
    f.runFor(APPLY_BOUND);
    List<Integer> behind =
        f.running()
            .filter(members)
            .filter(k -> f.daemon(k).config().version() < f.documentVersion())
            .boxed()
            .toList();
    assertEquals(List.of(), behind, "daemons of " + f.size() + " with an old document");
  }

  private static void assertReadsBounded(MembershipSimulation f) {
    long before = f.documentReads();
    f.runFor(Duration.ofMinutes(1));
    long reads = f.documentReads() - before;
    assertTrue(reads <= MAX_READS_A_MINUTE, reads + " reads by " + f.size() + " daemons");
  }

  private static MembershipSimulation started(int members, long seed) {
    MembershipSimulation f = new MembershipSimulation(ZONES, 4, seed);
    f.start(members);
    f.publishDocument();
    f.runFor(Duration.ofSeconds(10));
    assertTrue(IntStream.range(0, members).allMatch(k -> f.daemon(k).config().version() > 0));
    return f;
  }
}
