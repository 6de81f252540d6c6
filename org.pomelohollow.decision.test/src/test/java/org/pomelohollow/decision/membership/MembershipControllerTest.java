package org.pomelohollow.decision.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.config.ConfigController;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.junit.RecordedEffects;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.ZoneId;

class MembershipControllerTest {
  private final ManualClock clock = new ManualClock();
  private final RecordedEffects effects = new RecordedEffects();
  private final MembershipController controller =
      new MembershipController(
          member("a", 5),
          List.of(),
          new ConfigController(effects),
          new SplittableRandom(1),
          effects);

  @Example
  void aLaterIncarnationWithTheOwnHostNameIsWarnedOfOnce() {
    receiveHeartbeat(member("a", 9), 1);
    receiveHeartbeat(member("a", 9), 2);
    assertEquals(1, warnings());
  }

  @Example
  void aReplacedIncarnationThatKeepsSendingIsWarnedOfAndNotReadmitted() {
    receiveHeartbeat(member("b", 9), 1);
    receiveHeartbeat(member("b", 7), 50);
    assertEquals(0, warnings());
    clock.advance(Duration.ofSeconds(11));
    receiveHeartbeat(member("b", 7), 51);
    assertEquals(1, warnings());
    assertTrue(controller.roster().find(new MemberId("b", 7)).isEmpty());
  }

  @Example
  void aHeartbeatInTheNameOfAnotherIsIgnored() {
    Heartbeat h = new Heartbeat(member("b", 9), 1, 1, 0, 0, 0, true, 0);
    handle(new Event.MessageReceived(new MemberId("c", 1), h));
    assertEquals(List.of(), effects.take(Effect.SendToAddress.class));
  }

  @Example
  void theOwnRecordIsRenewedWhenItExpires() {
    handle(new Event.Tick());
    assertEquals(1, effects.take(Effect.Append.class).size());
    handle(new Event.AppendCompleted(5, Event.AppendOutcome.APPENDED));
    MemberJoined ownRecord = new MemberJoined(new MemberId("a", 5), endpoint("a"), new ZoneId("z"));
    handle(logRead(ownRecord, 40, 0));
    clock.advance(Duration.ofSeconds(10));
    handle(new Event.Tick());
    assertEquals(0, effects.take(Effect.Append.class).size());
    handle(new Event.LogRead(LogStream.MEMBERS, 60, List.of(), 50, 60));
    handle(new Event.Tick());
    assertEquals(1, effects.take(Effect.Append.class).size());
  }

  @Example
  void theOwnRecordIsRenewedWhenTheLogHasLostItsNewestEntries() {
    handle(new Event.Tick());
    effects.take(Effect.Append.class);
    handle(new Event.AppendCompleted(5, Event.AppendOutcome.APPENDED));
    handle(new Event.LogRestored());
    clock.advance(Duration.ofSeconds(2));
    handle(new Event.Tick());
    assertEquals(1, effects.take(Effect.Append.class).size());
  }

  @Example
  void failedJoinsAreRepeatedEverMoreSlowly() {
    for (int second = 0; second < 600; second++) {
      clock.advance(Duration.ofSeconds(1));
      handle(new Event.Tick());
      handle(new Event.AppendCompleted(5, Event.AppendOutcome.UNKNOWN));
    }
    int appends = effects.take(Effect.Append.class).size();
    assertTrue(appends > 10 && appends < 30, "appends " + appends);
  }

  @Example
  void aChangeOfTheLimitIsNotGossipedButADrainIs() {
    receiveHeartbeat(member("b", 9), 1);
    controller.setTarget(Optional.of(target(3, false)), clock.getAsLong());
    clock.advance(Duration.ofMillis(50));
    handle(new Event.Tick());
    effects.takeMessages(Rumours.class);
    controller.setTarget(Optional.of(target(4, false)), clock.getAsLong());
    handle(new Event.Tick());
    assertEquals(List.of(), effects.takeMessages(Rumours.class));
    controller.setTarget(Optional.of(target(4, true)), clock.getAsLong());
    handle(new Event.Tick());
    assertEquals(1, effects.takeMessages(Rumours.class).size());
  }

  @Example
  void heartbeatsThatChangeNothingRaiseNoRoster() {
    receiveHeartbeat(member("b", 9), 1);
    effects.take(Effect.RaiseEvent.class);
    for (int i = 2; i < 50; i++) {
      clock.advance(Duration.ofMillis(100));
      receiveHeartbeat(member("b", 9), i);
    }
    assertEquals(List.of(), effects.take(Effect.RaiseEvent.class));
  }

  @Example
  void aLateMessageOfACrashedMemberDoesNotBringItBack() {
    receiveHeartbeat(member("b", 9), 1);
    for (int i = 0; i < 100; i++) {
      clock.advance(Duration.ofMillis(50));
      handle(new Event.Tick());
    }
    assertEquals(1, controller.roster().members().size());
    receiveHeartbeat(member("b", 9), 2);
    assertEquals(1, controller.roster().members().size());
  }

  private long warnings() {
    return effects.take(Effect.LogLine.class).stream().filter(Effect.LogLine::warning).count();
  }

  private void receiveHeartbeat(Member m, long sequence) {
    handle(new Event.MessageReceived(m.id(), new Heartbeat(m, 1, sequence, 0, 0, 0, false, 0)));
  }

  private void handle(Event e) {
    controller.handle(e, clock.getAsLong());
  }

  private static Event logRead(MemberJoined j, long offset, long oldest) {
    return new Event.LogRead(
        LogStream.MEMBERS,
        offset,
        List.of(new StoredEntry(offset, Optional.of(j))),
        oldest,
        offset + 1);
  }

  private static Member member(String host, long incarnation) {
    return new Member(
        new MemberId(host, incarnation), endpoint(host), new ZoneId("z"), Optional.empty(), false);
  }

  private static Endpoint endpoint(String host) {
    return new Endpoint("10.0.0." + (int) host.charAt(0), 7400);
  }

  private static TargetState target(int limit, boolean draining) {
    return new TargetState(new ServiceId("s"), 40, limit, false, draining);
  }
}
