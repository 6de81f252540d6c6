package org.pomelohollow.decision.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.guard.TargetObserver.RunningRequest;
import org.pomelohollow.document.RolloutOrder;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ZoneId;

class RolloutCountsTest {
  private final List<Effect> effects = new ArrayList<>();

  /** Guards against bad responses that are forgotten when a target is away for a moment. */
  @Example
  void countsOutlastAMomentWithoutATarget() {
    SimulatedHost h = new SimulatedHost("host", Optional.of("v2"), Behaviour.GOOD);
    h.startDaemon(1, effects::add);
    Member other =
        new Member(
            new MemberId("other", 1),
            new Endpoint("127.0.0.1", 1),
            new ZoneId("z"),
            Optional.empty(),
            false);
    h.setRoster(List.of(h.member(), other), 0);
    h.configure(List.of(new RolloutOrder(SimulatedHost.SERVICE, "v2", 12_000, "1")), 0);
    tick(h, 1_000);
    RunningRequest r = new Request();
    h.rollouts.targetObserver().started(r);
    h.rollouts.targetObserver().ended(r, Completion.RESPONDED, true, millis(1_100));
    h.targetUp = false;
    tick(h, 2_000);
    h.targetUp = true;
    tick(h, 3_000);
    tick(h, 4_000);
    assertEquals(1, lastReport().routes().stream().mapToLong(RouteTotals::failures).sum());
  }

  private RolloutReport lastReport() {
    return effects.stream()
        .filter(e -> e instanceof Effect.Send s && s.message() instanceof RolloutReport)
        .map(e -> (RolloutReport) ((Effect.Send) e).message())
        .reduce((a, b) -> b)
        .orElseThrow();
  }

  private static void tick(SimulatedHost h, long atMillis) {
    h.setTime(atMillis);
    h.handle(new Event.Tick(), millis(atMillis));
  }

  private static long millis(long n) {
    return TimeUnit.MILLISECONDS.toNanos(n);
  }

  private static final class Request implements RunningRequest {
    @Override
    public String route() {
      return "route";
    }

    @Override
    public long selfTimeNanos(long nowNanos) {
      return millis(100);
    }
  }
}
