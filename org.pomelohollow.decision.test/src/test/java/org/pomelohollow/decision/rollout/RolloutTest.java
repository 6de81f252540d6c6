package org.pomelohollow.decision.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import org.pomelohollow.model.MemberId;

/**
 * Orders over a whole duration: versions that are bad in different ways get at most 0.1 of the
 * requests and 50 more, and nothing later than 5 s after the 50th bad response; a good one is
 * completed in time, after the old targets have finished.
 */
class RolloutTest {
  private static final long ORDER_MILLIS = 3_000;
  private static final long FRESH_START_MILLIS = 4_500;
  private static final String ORDER = "order-1";
  private static final long[] DURATIONS = {12_000, 16_000};

  /** Seeds of each case; more with {@code -Dpomelohollow.tries}. */
  private static final int SEEDS = Math.min(20, Integer.getInteger("pomelohollow.tries", 1));

  /** Numbers of old and new targets, and requests per second. */
  private static final int[][] SIZES = {{5, 5, 80}, {12, 12, 300}, {22, 22, 800}};

  @Example
  void aVersionThatFailsAtOnceIsRolledBack() {
    checkBad(Behaviour.failing(0.35));
  }

  @Example
  void aVersionThatIsEightTimesSlowerIsRolledBack() {
    checkBad(Behaviour.slow(0.35));
  }

  @Example
  void aVersionThatTurnsBadThreeSecondsAfterItsStartIsRolledBack() {
    checkBad(Behaviour.failing(0.35).onlyIf(r -> r.targetAgeMillis() > 3_000));
    checkBad(Behaviour.slow(0.35).onlyIf(r -> r.targetAgeMillis() > 3_000));
  }

  @Example
  void aVersionThatIsBadUnderLoadIsRolledBack() {
    checkBad(Behaviour.failing(0.4).onlyIf(Behaviour.Request::isLoaded));
    checkBad(Behaviour.slow(0.4).onlyIf(Behaviour.Request::isLoaded));
  }

  @Example
  void aVersionThatIsBadOnOneRouteIsRolledBack() {
    checkBad(Behaviour.failing(0.4).onlyIf(r -> r.route().equals("route-2")));
    checkBad(Behaviour.slow(0.4).onlyIf(r -> r.route().equals("route-1")));
  }

  @Example
  void aGoodVersionIsCompletedInTimeWhenTheOldTargetsAreIdle() {
    checkGood(s -> {});
  }

  @Example
  void aGoodVersionIsCompletedAlthoughOneOfItsTargetsIsSlow() {
    checkGood(s -> s.at(5_000, () -> s.host("new-0").slowness = 5));
  }

  @Example
  void aGoodVersionIsCompletedAlthoughItsEvaluatorIsLost() {
    for (long lostMillis : new long[] {7_000, 10_500, 11_500}) {
      checkGood(s -> s.at(lostMillis, () -> s.killDaemon(evaluators(s).get(0))));
    }
  }

  /** Guards against a switch that is reset to the canary when the first evaluator returns. */
  @Example
  void aSwitchGoesOnWhenTheFirstEvaluatorRestarts() {
    for (long backMillis : new long[] {10_300, 11_000, 11_600}) {
      RolloutSimulation s = simulation(SIZES[1], 12_000, Behaviour.GOOD, 1);
      String first = evaluators(s).get(0);
      s.at(8_000, () -> s.killDaemon(first));
      s.at(backMillis, () -> s.restartDaemon(first));
      s.runUntil(18_000);
      String text = backMillis + "\n" + String.join("\n", s.log);
      assertEquals(RolloutState.COMPLETED, lastState(s, ORDER), text);
      assertEquals(0, s.log.stream().filter(l -> isCanaryAfter(l, 10_000)).count(), text);
    }
  }

  /** Guards against an order that waits for a first evaluator which nobody hears. */
  @Example
  void aFirstEvaluatorThatIsNotHeardDoesNotBlockTheOrder() {
    RolloutSimulation s = simulation(SIZES[1], 12_000, Behaviour.GOOD, 1);
    s.loseMessagesOf(evaluators(s).get(0));
    s.runUntil(18_000);
    String text = String.join("\n", s.log);
    assertTrue(s.log.stream().anyMatch(l -> l.contains("step ALL")), text);
    // The daemon that is not heard goes on using the old targets, so they may not be stopped.
    assertEquals(0, s.runningAtCompletion, text);
    assertTrue(lastState(s, ORDER).isFinal(), text);
  }

  /** Guards against durations that leave no time between the canary and the end. */
  @Example
  void aGoodVersionIsCompletedWithinAShortDuration() {
    RolloutSimulation s = simulation(SIZES[1], 7_000, Behaviour.GOOD, 1);
    s.runUntil(12_000);
    String text = String.join("\n", s.log);
    assertEquals(RolloutState.COMPLETED, lastState(s, ORDER), text);
    assertTrue(writtenMillis(s) <= ORDER_MILLIS + 7_000, text);
    assertEquals(0, s.runningAtCompletion, text);
  }

  /** Guards against old targets that are stopped at the time limit while requests run there. */
  @Example
  void aRequestThatDoesNotEndAtAnOldTargetIsNotCutOffAtTheLimit() {
    RolloutSimulation s = simulation(SIZES[1], 12_000, Behaviour.GOOD, 1);
    s.at(10_000, () -> s.host("old-0").slowness = 200);
    s.runUntil(18_000);
    assertEquals(0, s.runningAtCompletion, () -> String.join("\n", s.log));
    assertEquals(RolloutState.ROLLED_BACK, lastState(s, ORDER));
  }

  /** Guards against a retry to an old target that the platform is about to stop. */
  @Example
  void aRetryAfterCompletionDoesNotGoToAnOldTarget() {
    RolloutSimulation s = simulation(SIZES[1], 12_000, Behaviour.GOOD, 1);
    s.runUntil(16_000);
    Set<MemberId> tried =
        s.hosts().stream()
            .filter(h -> h.name.startsWith("new"))
            .map(h -> h.id)
            .collect(Collectors.toSet());
    long now = TimeUnit.MILLISECONDS.toNanos(s.nowMillis());
    assertEquals(
        Optional.empty(), s.host("host-0").router.choose(SimulatedHost.SERVICE, tried, now));
  }

  private static boolean isCanaryAfter(String line, long millis) {
    return line.contains("step CANARY")
        && Long.parseLong(line.substring(0, line.indexOf(' '))) > millis;
  }

  @Example
  void aBadVersionIsRolledBackAlthoughItsEvaluatorIsLost() {
    Behaviour late = Behaviour.failing(0.35).onlyIf(r -> r.targetAgeMillis() > 3_000);
    checkBad(late, s -> s.at(7_000, () -> s.killDaemon(evaluators(s).get(0))));
  }

  @Example
  void aRollBackHoldsWhileTheStoreIsAwayAndIsWrittenLater() {
    RolloutSimulation s = simulation(SIZES[1], 12_000, Behaviour.failing(0.4), 1);
    s.at(6_000, () -> s.store.setUp(false));
    s.at(25_000, () -> s.store.setUp(true));
    s.runUntil(24_000);
    assertEquals(0, s.sent(12_000, 24_000, RolloutSimulation.Sent::isNew));
    s.runUntil(28_000);
    assertEquals(RolloutState.ROLLED_BACK, lastState(s, ORDER));
  }

  @Example
  void completionWaitsForTheStoreWithAllRequestsAtTheNewVersion() {
    RolloutSimulation s = simulation(SIZES[1], 12_000, Behaviour.GOOD, 1);
    s.at(9_000, () -> s.store.setUp(false));
    s.at(25_000, () -> s.store.setUp(true));
    s.runUntil(28_000);
    assertEquals(0, s.sent(15_500, 28_000, r -> !r.isNew()));
    assertEquals(RolloutState.COMPLETED, lastState(s, ORDER));
  }

  @Example
  void aRestartedDaemonSendsNothingToTheNewVersionUntilItKnowsTheState() {
    RolloutSimulation s = simulation(SIZES[1], 12_000, Behaviour.failing(0.4), 1);
    s.runUntil(20_000);
    s.store.setUp(false);
    s.killDaemon("host-0");
    s.runUntil(21_500);
    s.restartDaemon("host-0");
    s.runUntil(40_000);
    assertTrue(s.sent(21_500, 40_000, r -> r.entry().equals("host-0")) > 0);
    assertEquals(0, s.sent(20_000, 40_000, RolloutSimulation.Sent::isNew));
  }

  @Example
  void allDaemonsKilledAtOnceStillEndTheOrder() {
    for (Behaviour b : List.of(Behaviour.GOOD, Behaviour.failing(0.4))) {
      RolloutSimulation s = simulation(SIZES[1], 16_000, b, 1);
      s.at(9_000, () -> s.hosts().forEach(h -> s.killDaemon(h.name)));
      s.at(9_005, () -> s.hosts().forEach(h -> s.restartDaemon(h.name)));
      s.runUntil(30_000);
      boolean good = b == Behaviour.GOOD;
      assertEquals(
          good ? RolloutState.COMPLETED : RolloutState.ROLLED_BACK,
          lastState(s, ORDER),
          () -> String.join("\n", s.log));
    }
  }

  @Example
  void newTargetsThatNeverComeEndInARollBackAtTheLimit() {
    RolloutSimulation s = new RolloutSimulation(300, 1).with(12, 0, 20, 0, Behaviour.GOOD);
    s.at(ORDER_MILLIS, () -> s.order(RolloutSimulation.NEW, 12_000, ORDER));
    s.runUntil(20_000);
    assertEquals(RolloutState.ROLLED_BACK, lastState(s, ORDER));
    long written = writtenMillis(s);
    assertTrue(written > ORDER_MILLIS + 10_000 && written <= ORDER_MILLIS + 12_000, "" + written);
    assertEquals(0, s.refused);
  }

  @Example
  void aSecondOrderReplacesARunningOne() {
    RolloutSimulation s = simulation(SIZES[1], 16_000, Behaviour.GOOD, 1);
    s.at(8_000, () -> s.order(RolloutSimulation.OLD, 12_000, "order-2"));
    s.runUntil(24_000);
    assertEquals(RolloutState.COMPLETED, lastState(s, "order-2"), () -> String.join("\n", s.log));
    assertEquals(0, s.sent(8_400, 24_000, RolloutSimulation.Sent::isNew));
    RolloutSimulation t = simulation(SIZES[1], 16_000, Behaviour.GOOD, 1);
    t.at(6_000, () -> t.order(RolloutSimulation.NEW, 12_000, "order-2"));
    t.runUntil(20_000);
    assertEquals(RolloutState.COMPLETED, lastState(t, "order-2"), () -> String.join("\n", t.log));
  }

  @Example
  void aWithdrawnOrderLeavesTheRequestsAtTheOldVersion() {
    RolloutSimulation s = simulation(SIZES[1], 12_000, Behaviour.failing(0.4), 1);
    s.at(5_000, () -> s.setOrders(List.of()));
    s.runUntil(20_000);
    assertEquals(0, s.sent(5_400, 20_000, RolloutSimulation.Sent::isNew));
    assertTrue(s.store.written(ORDER).stream().noneMatch(w -> w.status().state().isFinal()));
  }

  @Example
  void callersAreServedByAGoodVersionWhenTheOldTargetsCrash() {
    RolloutSimulation s = simulation(SIZES[1], 16_000, Behaviour.GOOD, 1);
    List<String> old =
        s.hosts().stream().map(h -> h.name).filter(n -> n.startsWith("old")).toList();
    s.at(9_000, () -> s.crashTargets(old));
    s.runUntil(11_000);
    long refused = s.refused;
    s.runUntil(20_000);
    assertEquals(refused, s.refused, () -> String.join("\n", s.log));
    assertEquals(RolloutState.COMPLETED, lastState(s, ORDER));
  }

  @Example
  void oldTargetsThatCrashDoNotMakeABadVersionServe() {
    checkBad(
        Behaviour.failing(0.35), s -> s.at(6_500, () -> s.crashTargets(List.of("old-0", "old-1"))));
  }

  @Example
  void newTargetsThatCrashDoNotStopTheService() {
    checkGood(s -> s.at(8_000, () -> s.crashTargets(List.of("new-1"))));
  }

  @Example
  void bothSidesOfAPartitionStayWithinTheBound() {
    for (Behaviour b : List.of(Behaviour.failing(0.4), Behaviour.slow(0.4))) {
      checkBad(b, s -> partition(s, 4_800, 13_000));
    }
  }

  @Example
  void aGoodVersionIsCompletedBesideAPartition() {
    RolloutSimulation s = simulation(SIZES[1], 16_000, Behaviour.GOOD, 1);
    partition(s, 6_000, 12_000);
    s.runUntil(25_000);
    assertEquals(RolloutState.COMPLETED, lastState(s, ORDER), () -> String.join("\n", s.log));
  }

  /** Cuts a third of the hosts off from the others. */
  private static void partition(RolloutSimulation s, long fromMillis, long toMillis) {
    s.at(fromMillis, () -> s.setReachable((a, b) -> isCutOff(a) == isCutOff(b)));
    s.at(toMillis, () -> s.setReachable((a, b) -> true));
  }

  private static boolean isCutOff(String host) {
    return Math.floorMod(Integer.parseInt(host.substring(host.indexOf('-') + 1)), 3) == 0;
  }

  private static void checkBad(Behaviour b) {
    checkBad(b, s -> {});
  }

  private static void checkBad(Behaviour b, Consumer<RolloutSimulation> fault) {
    for (int[] size : SIZES) {
      for (long duration : DURATIONS) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          RolloutSimulation s = simulation(size, duration, b, seed);
          fault.accept(s);
          s.runUntil(ORDER_MILLIS + duration + 6_000);
          String what = size[0] + " targets, " + duration + " ms, seed " + seed + "\n";
          String text = what + String.join("\n", s.log);
          assertWithinBound(s, duration, text);
          assertEquals(RolloutState.ROLLED_BACK, lastState(s, ORDER), text);
          assertNothingLate(s, text);
        }
      }
    }
  }

  private static void checkGood(Consumer<RolloutSimulation> fault) {
    for (int[] size : SIZES) {
      for (long duration : DURATIONS) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          RolloutSimulation s = simulation(size, duration, Behaviour.GOOD, seed);
          fault.accept(s);
          s.runUntil(ORDER_MILLIS + duration + 3_000);
          String what = size[0] + " targets, " + duration + " ms, seed " + seed + "\n";
          String text = what + String.join("\n", s.log);
          assertEquals(RolloutState.COMPLETED, lastState(s, ORDER), text);
          long written = writtenMillis(s);
          assertTrue(written <= ORDER_MILLIS + duration, text);
          assertEquals(0, s.runningAtCompletion, text);
          long idleFrom = written - 400;
          assertEquals(0, s.sent(idleFrom, Long.MAX_VALUE, r -> !r.isNew()), text);
        }
      }
    }
  }

  private static RolloutSimulation simulation(
      int[] size, long durationMillis, Behaviour b, long seed) {
    RolloutSimulation s =
        new RolloutSimulation(size[2], seed)
            .with(size[0], size[1], 63 - size[0] - size[1], FRESH_START_MILLIS, b);
    s.at(ORDER_MILLIS, () -> s.order(RolloutSimulation.NEW, durationMillis, ORDER));
    return s;
  }

  private static void assertWithinBound(RolloutSimulation s, long duration, String text) {
    long end = ORDER_MILLIS + duration;
    long all = s.sent(ORDER_MILLIS, end, r -> true);
    long exposed = s.sent(ORDER_MILLIS, end, RolloutSimulation.Sent::isNew);
    assertTrue(exposed <= 0.1 * all + 50, () -> exposed + " of " + all + ", " + text);
  }

  private static void assertNothingLate(RolloutSimulation s, String text) {
    if (s.badResponses.size() >= 50) {
      long from = s.badResponses.get(49) + 5_000;
      assertEquals(0, s.sent(from, Long.MAX_VALUE, RolloutSimulation.Sent::isNew), text);
    }
  }

  private static RolloutState lastState(RolloutSimulation s, String order) {
    List<SimulatedStore.Written> w = s.store.written(order);
    return w.isEmpty() ? RolloutState.RUNNING : w.get(w.size() - 1).status().state();
  }

  private static long writtenMillis(RolloutSimulation s) {
    return s.store.written(ORDER).stream()
        .filter(w -> w.status().state().isFinal())
        .findFirst()
        .orElseThrow()
        .atMillis();
  }

  private static List<String> evaluators(RolloutSimulation s) {
    return s.hosts().stream()
        .map(h -> h.id)
        .sorted(Evaluators.order(ORDER))
        .map(m -> m.host())
        .toList();
  }
}
