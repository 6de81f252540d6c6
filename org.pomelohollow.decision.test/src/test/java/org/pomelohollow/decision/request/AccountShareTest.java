package org.pomelohollow.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.pomelohollow.model.TargetLoad;

/**
 * Guards against an account that takes the others' share, a small account that is starved, and
 * bursts that are refused although they could be queued, under load beyond a service's capacity.
 */
class AccountShareTest {
  static final Predicate<TargetLoad> IN_EFFECT = l -> true;
  static final Predicate<TargetLoad> NOT_IN_EFFECT = l -> false;
  private static final int SEED = 7;
  private static final long OBJECTIVE_MILLIS = 1_500;

  @Test
  void floodIsCutToTheLevelAndOthersAreServedBetter() {
    for (double times : new double[] {1.4, 2.0, 2.5}) {
      DoubleUnaryOperator load = t -> t < 3 ? 0.5 : times;
      Map<String, ShareResult> before = play(NOT_IN_EFFECT, load, 12);
      Map<String, ShareResult> after = play(IN_EFFECT, load, 12);
      String text = times + ": " + ShareResult.sum(after.values()) + ", big " + after.get("big");
      assertTrue(worstOther(after) >= 1.15 * worstOther(before), text);
      assertTrue(after.get("big").servedShare() <= 0.3 * worstOther(after), text);
      assertTrue(after.get("big").servedShare() >= 0.04, text);
      assertTrue(after.get("small").servedShare() >= 0.85, text + after.get("small"));
      assertTrue(value(after) >= 0.98 * value(before), text);
    }
  }

  @Test
  void shareThatOthersLeaveGoesToTheFlood() {
    // The others ask for 0.55 of the capacity; the flood of 0.9 can have nearly all of the rest.
    ShareSimulation s = new ShareSimulation(SEED, IN_EFFECT).addRoute("r", 1, OBJECTIVE_MILLIS);
    s.addLoad("big", "r", t -> 0.9 * ShareSimulation.CAPACITY);
    for (int i = 0; i < 20; i++) {
      s.addLoad("a" + i, "r", t -> 0.55 * ShareSimulation.CAPACITY / 20);
    }
    Map<String, ShareResult> r = s.run(14);
    assertTrue(worstOther(r) >= 0.97, "worst other " + worstOther(r));
    assertTrue(r.get("big").servedShare() >= 0.75 * 0.45 / 0.9, "big " + r.get("big"));
  }

  @Test
  void shortBurstIsQueued() {
    DoubleUnaryOperator load = t -> t < 4 || t > 4.4 ? 0.7 : 2.5;
    ShareResult before = ShareResult.sum(play(NOT_IN_EFFECT, load, 8).values());
    ShareResult after = ShareResult.sum(play(IN_EFFECT, load, 8).values());
    assertTrue(after.inTime * 1.0 / after.offered >= before.inTime * 1.0 / before.offered);
    assertTrue(after.refusedOnce < 0.85 * before.refusedOnce, before + " / " + after);
  }

  @Test
  void requestsOfALongBurstAreRefusedWithinAThirdOfTheObjective() {
    DoubleUnaryOperator load = t -> t < 4 || t > 10 ? 0.7 : 2.5;
    ShareResult after = ShareResult.sum(play(IN_EFFECT, load, 16).values());
    // The wait is checked at ticks, 50 ms apart.
    long mostMillis = OBJECTIVE_MILLIS / 3 + 55;
    assertTrue(after.longestRefusalNanos <= mostMillis * 1_000_000, after.toString());
  }

  @Test
  void lessImportantPriorityIsRefusedFirst() {
    ShareSimulation s = new ShareSimulation(SEED, IN_EFFECT);
    s.addRoute("high", 0, OBJECTIVE_MILLIS).addRoute("low", 2, OBJECTIVE_MILLIS);
    s.addLoad("important", "high", t -> 0.6 * ShareSimulation.CAPACITY);
    for (int i = 0; i < 10; i++) {
      s.addLoad("a" + i, "low", t -> 0.12 * ShareSimulation.CAPACITY);
    }
    Map<String, ShareResult> r = s.run(12);
    assertTrue(r.get("important").servedShare() >= 0.97, r.toString());
    assertTrue(worstOther(r) <= 0.6, r.toString());
  }

  @Test
  void nothingIsSentWhereNoTargetReportsItsSlowdown() {
    ShareSimulation s =
        new ShareSimulation(SEED, TargetLoad::hasSlowdown).addRoute("r", 1, OBJECTIVE_MILLIS);
    flood(s, t -> 2.0, "r");
    s.run(8);
    assertEquals(0, s.messages);
    assertEquals(List.of(), s.logLines);
  }

  /** Prints the comparison of docs/design/account-shares.md; runs only on request. */
  @Test
  void compare() {
    Assumptions.assumeTrue(Boolean.getBoolean("pomelohollow.measure"));
    for (double times : new double[] {1.0, 1.4, 2.0, 2.5}) {
      print("flood " + times, t -> t < 3 ? 0.5 : times, 12);
    }
    print("burst 0.4 s", t -> t < 4 || t > 4.4 ? 0.7 : 2.5, 8);
    print("burst 2 s", t -> t < 4 || t > 6 ? 0.7 : 2.5, 12);
    print("burst 6 s", t -> t < 4 || t > 10 ? 0.7 : 2.5, 16);
  }

  private static void print(String name, DoubleUnaryOperator load, double seconds) {
    for (Predicate<TargetLoad> rule : List.of(NOT_IN_EFFECT, IN_EFFECT)) {
      for (boolean same : new boolean[] {true, false}) {
        ShareSimulation s = new ShareSimulation(SEED, rule).addRoute("r", 1, OBJECTIVE_MILLIS);
        s.sameEntry = same;
        flood(s, load, "r");
        Map<String, ShareResult> r = s.run(seconds);
        System.out.printf(
            "%-12s %-6s %-5s %s worst %.3f small %.3f big %.3f messages %d%n",
            name,
            rule == IN_EFFECT ? "shares" : "before",
            same ? "same" : "any",
            ShareResult.sum(r.values()),
            worstOther(r),
            r.get("small").servedShare(),
            r.get("big").servedShare(),
            s.messages);
      }
    }
  }

  private static Map<String, ShareResult> play(
      Predicate<TargetLoad> rule, DoubleUnaryOperator load, double seconds) {
    ShareSimulation s = new ShareSimulation(SEED, rule).addRoute("r", 1, OBJECTIVE_MILLIS);
    flood(s, load, "r");
    return s.run(seconds);
  }

  /** Adds an account at 7 times the demand of 20 others, and a small one. */
  static void flood(ShareSimulation s, DoubleUnaryOperator load, String route) {
    double unit = ShareSimulation.CAPACITY / 27.1;
    s.addLoad("big", route, t -> 7 * unit * load.applyAsDouble(t));
    s.addLoad("small", route, t -> 0.1 * unit * load.applyAsDouble(t));
    for (int i = 0; i < 20; i++) {
      s.addLoad("a" + i, route, t -> unit * load.applyAsDouble(t));
    }
  }

  static double worstOther(Map<String, ShareResult> r) {
    return r.entrySet().stream()
        .filter(e -> e.getKey().startsWith("a"))
        .mapToDouble(e -> e.getValue().servedShare())
        .min()
        .orElseThrow();
  }

  /** Returns the mean worth of a request, where a late response has half of its value. */
  private static double value(Map<String, ShareResult> r) {
    ShareResult all = ShareResult.sum(r.values());
    return (all.inTime + all.served) / 2.0 / all.offered;
  }
}
