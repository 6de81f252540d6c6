package org.pomelohollow.decision.request;

import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.pomelohollow.model.TargetLoad;

/**
 * Guards against an account that takes the others' share, a small account that is starved, and
 * callers that are refused twice, under loads beyond the capacity of a service.
 */
class AccountShareTest {
  static final Predicate<TargetLoad> IN_EFFECT = l -> true;
  static final Predicate<TargetLoad> NOT_IN_EFFECT = l -> false;

  @Test
  void printsComparison() {
    for (double times : new double[] {1.0, 1.4, 2.0, 2.5}) {
      print("flood " + times, t -> t < 3 ? 0.5 : times, 12, true);
    }
    print("flood 2.0, other entries", t -> t < 3 ? 0.5 : 2.0, 12, false);
    print("burst 2 s", t -> t < 4 || t > 6 ? 0.7 : 2.5, 12, true);
    print("burst 6 s", t -> t < 4 || t > 10 ? 0.7 : 2.5, 16, true);
    print("burst 0.4 s", t -> t < 4 || t > 4.4 ? 0.7 : 2.5, 8, true);
  }

  private static void print(String name, DoubleUnaryOperator load, double seconds, boolean same) {
    for (Predicate<TargetLoad> rule : List.of(NOT_IN_EFFECT, IN_EFFECT)) {
      ShareSimulation s = new ShareSimulation(7, rule).addRoute("r", 1, 1_500);
      s.sameEntry = same;
      flood(s, load, "r");
      Map<String, ShareResult> r = s.run(seconds);
      System.out.printf(
          "%-26s %-8s all: %s%n    big: %s%n    small: %s worst other %.3f%n    %s%n",
          name,
          rule == IN_EFFECT ? "shares" : "before",
          ShareResult.sum(r.values()),
          r.get("big"),
          r.get("small"),
          worstOther(r),
          s.messageCounts);
    }
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
}
