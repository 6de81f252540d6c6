package org.pomelohollow.decision.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.pomelohollow.document.RolloutOrder;
import org.pomelohollow.model.MemberId;

class RolloutEvaluatorTest {
  private static final long DURATION_MILLIS = 12_000;
  private static final MemberId OLD = new MemberId("old", 1);
  private static final MemberId NEW = new MemberId("new", 1);

  private final RolloutOrder order =
      new RolloutOrder(SimulatedHost.SERVICE, "v2", DURATION_MILLIS, "1/v2/12000");
  private final RolloutEvaluator evaluator = new RolloutEvaluator(order, RolloutSettings.DEFAULT);
  private long sequence;

  /** Guards against steps that an evaluator takes unannounced and skips when it goes first. */
  @Example
  void onlyTheFirstEvaluatorTakesSteps() {
    for (long t = 0; t < 10_000; t += 100) {
      assertEquals(RolloutStep.CANARY, evaluate(false, t));
    }
  }

  /** Shows that the totals of these tests do let a first evaluator take steps. */
  @Example
  void theFirstEvaluatorTakesSteps() {
    RolloutStep step = RolloutStep.CANARY;
    for (long t = 0; t < 8_000; t += 100) {
      step = evaluate(true, t);
    }
    assertEquals(RolloutStep.QUARTER, step);
  }

  private RolloutStep evaluate(boolean first, long millis) {
    long now = TimeUnit.MILLISECONDS.toNanos(millis);
    evaluator.add(OLD, report("v1", millis), now);
    evaluator.add(NEW, report("v2", 3 * millis / 100), now);
    return evaluator
        .evaluate(first, new RolloutEvaluator.MemberView(List.of(OLD), true), now, now)
        .announcement()
        .step();
  }

  private RolloutReport report(String version, long responses) {
    // All times are in the bucket from 90 to 128 ms.
    List<Long> times = new java.util.ArrayList<>(java.util.Collections.nCopies(17, 0L));
    times.add(responses);
    RouteTotals r = new RouteTotals("route", responses, 0, times, List.of());
    return new RolloutReport(
        SimulatedHost.SERVICE, order.id(), version, ++sequence, 2, 100, List.of(r));
  }
}
