package org.pomelohollow.decision.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.routing.TrafficSplit;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.ZoneId;

/** A daemon that has not learnt an order yet: what it sends to a version that appears. */
class RolloutHoldTest {
  private static final MemberId SELF = new MemberId("self", 1);
  private static final Member OLD = member("old", "v1");
  private static final Member NEW = member("new", "v2");
  private static final RolloutSettings ROLLOUTS =
      new RolloutSettings(0.1, 50, TimeUnit.SECONDS.toNanos(5));

  /** Guards against a full share for a version whose order is learnt later. */
  @Example
  void aVersionThatAppearsBesideAServingOneGetsNothingForAWhile() {
    RolloutController c = controller(ROLLOUTS);
    publish(c, 0, OLD);
    publish(c, 10, OLD, NEW);
    assertEquals(List.of(OLD), usable(c, 10, OLD, NEW));
    assertEquals(List.of(OLD), usable(c, 14, OLD, NEW));
    assertEquals(List.of(OLD, NEW), usable(c, 16, OLD, NEW));
  }

  /** Guards against requests without a target in a replacement without an order. */
  @Example
  void aVersionThatReplacesTheOtherIsUsedAtOnce() {
    RolloutController c = controller(ROLLOUTS);
    publish(c, 0, OLD);
    publish(c, 10, OLD, NEW);
    publish(c, 11, NEW);
    assertEquals(List.of(NEW), usable(c, 11, NEW));
    publish(c, 20, OLD);
    assertEquals(List.of(OLD), usable(c, 20, OLD));
  }

  /** Guards against a change where the settings name no roll-outs. */
  @Example
  void withoutRolloutsInTheSettingsAVersionIsUsedAtOnce() {
    RolloutController c = controller(RolloutSettings.DEFAULT);
    publish(c, 0, OLD);
    publish(c, 10, OLD, NEW);
    assertEquals(List.of(OLD, NEW), usable(c, 10, OLD, NEW));
  }

  private static RolloutController controller(RolloutSettings s) {
    return new RolloutController(
        SELF,
        s,
        new SplittableRandom(1),
        Optional::empty,
        () -> new TargetLoad(0, 0, 0, Priority.NONE_SHED),
        e -> {});
  }

  private static void publish(RolloutController c, long seconds, Member... targets) {
    List<Member> all = new ArrayList<>(List.of(targets));
    all.add(
        new Member(SELF, new Endpoint("127.0.0.1", 1), new ZoneId("z"), Optional.empty(), false));
    c.handle(new Event.RosterChanged(Roster.of(SELF, all)), TimeUnit.SECONDS.toNanos(seconds));
  }

  private static List<Member> usable(RolloutController c, long seconds, Member... serving) {
    long now = TimeUnit.SECONDS.toNanos(seconds);
    c.handle(new Event.Tick(), now);
    return c.split(SimulatedHost.SERVICE, List.of(serving), false, now)
        .map(TrafficSplit.Groups::preferred)
        .orElse(List.of(serving));
  }

  private static Member member(String host, String version) {
    TargetState t =
        new TargetState(SimulatedHost.SERVICE, 32, 32, false, false, Optional.of(version));
    return new Member(
        new MemberId(host, 1),
        new Endpoint("127.0.0.1", 1),
        new ZoneId("z"),
        Optional.of(t),
        false);
  }
}
