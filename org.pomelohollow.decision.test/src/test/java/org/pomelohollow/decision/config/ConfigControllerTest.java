package org.pomelohollow.decision.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.junit.RecordedEffects;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ZoneId;

class ConfigControllerTest {
  private static final MemberId A = new MemberId("a", 1);
  private static final MemberId B = new MemberId("b", 1);
  private static final MemberId C = new MemberId("c", 1);

  private final ManualClock clock = new ManualClock();
  private final RecordedEffects effects = new RecordedEffects();
  private final ConfigController controller = new ConfigController(effects);

  @Example
  void ofTwoProposalsOnOneBaseOnlyTheFirstIsAccepted() {
    read(0, 0, proposal("x", 0), proposal("y", 0));
    assertEquals("x", controller.active().orElseThrow().changeId());
    assertEquals(1, controller.version());
  }

  @Example
  void aRepeatedChangeIsAcceptedOnce() {
    read(0, 0, proposal("x", 0), proposal("x", 0), proposal("x", 1));
    assertEquals(1, controller.version());
  }

  @Example
  void nothingIsAcceptedAfterAGapWithoutACheckpoint() {
    read(5, 5, proposal("x", 0));
    assertEquals(0, controller.version());
  }

  @Example
  void aRestoreStartsAnewAfterTotalLoss() {
    read(5, 5, new ConfigRestore("r", 100, text("r")), proposal("x", 100));
    assertEquals(101, controller.version());
    read(7, 5, new ConfigRestore("late", 99, text("late")));
    assertEquals(101, controller.version());
  }

  @Example
  void aReplacedLogIsReadAnewButAnOlderVersionIsNotActivated() {
    read(0, 0, proposal("x", 0), proposal("y", 1));
    for (int s = 0; s < 40; s++) {
      clock.advance(Duration.ofSeconds(1));
      readNothing(2, 0, 0);
    }
    assertEquals(0, effects.take(Effect.SeekStream.class).get(0).offset());
    read(0, 0, proposal("z", 0));
    assertEquals("y", controller.active().orElseThrow().changeId());
    read(1, 0, new ConfigRestore("r", 100, text("r")));
    assertEquals(100, controller.version());
  }

  @Example
  void anotherPeerIsAskedIfTheFirstDoesNotReply() {
    handle(new Event.Tick());
    controller.observePeerVersion(A, 3);
    controller.observePeerVersion(B, 3);
    assertEquals(List.of(A), fetchedFrom());
    clock.advance(Duration.ofMillis(1100));
    handle(new Event.Tick());
    assertEquals(List.of(B), fetchedFrom());
    receive(B, transfer(3, 9));
    assertEquals(3, controller.version());
    receive(A, transfer(2, 8));
    assertEquals(3, controller.version());
    assertEquals(9, effects.take(Effect.SeekStream.class).get(0).offset());
  }

  @Example
  void transfersToPeersAreBoundedPerSecond() {
    read(0, 0, proposal("x", 0));
    for (int i = 0; i < 100; i++) {
      receive(new MemberId("p" + i, 1), new ConfigFetch(0, Long.MAX_VALUE));
    }
    assertEquals(8, effects.takeMessages(ConfigTransfer.class).size());
  }

  @Example
  void oneDaemonAppendsTheCheckpointAndTheNextOnlyIfItIsMissing() {
    int[] appendedAtSecond = new int[3];
    List<MemberId> ids = List.of(A, B, C);
    for (int i = 0; i < ids.size(); i++) {
      ConfigController c = new ConfigController(effects);
      handle(c, roster(ids.get(i), ids));
      for (int s = 0; s < 320; s++) {
        LogEntry e = proposal("x", 0);
        handle(c, logRead(0, 0, 1, List.of(e)));
        clock.advance(Duration.ofSeconds(1));
        appendedAtSecond[i] += effects.take(Effect.Append.class).isEmpty() ? 0 : 1;
        if (appendedAtSecond[i] > 0) {
          appendedAtSecond[i] = s;
          break;
        }
      }
    }
    assertEquals(3, java.util.Arrays.stream(appendedAtSecond).distinct().count());
    assertTrue(java.util.Arrays.stream(appendedAtSecond).allMatch(s -> s >= 300 && s < 306));
  }

  @Example
  void aCheckpointThatExpiredIsReplacedAtOnce() {
    handle(roster(A, List.of(A)));
    read(0, 0, proposal("x", 0));
    effects.take(Effect.Append.class);
    for (int s = 0; s < 3; s++) {
      clock.advance(Duration.ofSeconds(1));
      readNothing(1, 1, 1);
    }
    ConfigCheckpoint c = (ConfigCheckpoint) effects.take(Effect.Append.class).get(0).entry();
    assertEquals(1, c.state().nextOffset());
    assertEquals(1, c.state().version());
  }

  @Example
  void aDaemonPartitionedFromTheLogAndMostPeersIsStale() {
    handle(roster(A, List.of(A, B, C)));
    read(0, 0, proposal("x", 0));
    handle(roster(A, List.of(A)));
    idle(9);
    assertFalse(isStale());
    idle(2);
    assertTrue(isStale());
    readNothing(1, 0, 1);
    assertFalse(isStale());
  }

  @Example
  void aLogOutageAloneMakesNoDaemonStale() {
    handle(roster(A, List.of(A, B, C)));
    read(0, 0, proposal("x", 0));
    handle(roster(A, List.of(A, B)));
    idle(1000);
    assertFalse(isStale());
  }

  @Example
  void aConfirmationByAPeerEndsStaleness() {
    handle(roster(A, List.of(A, B, C)));
    read(0, 0, proposal("x", 0));
    handle(roster(A, List.of(A)));
    idle(15);
    controller.observePeerVersion(B, 2);
    controller.observePeerFreshness(B, 2, 0, clock.getAsLong());
    assertTrue(isStale(), "the peer has a newer version");
    receive(B, transfer(2, 9));
    controller.observePeerFreshness(B, 2, 20, clock.getAsLong());
    assertFalse(isStale());
    assertEquals(20, controller.configAgeMillis(clock.getAsLong()));
  }

  @Example
  void aDaemonThatWasPausedIsStaleUntilItsVersionIsConfirmed() {
    handle(roster(A, List.of(A, B, C)));
    idle(1);
    read(0, 0, proposal("x", 0));
    clock.advance(Duration.ofSeconds(30));
    assertTrue(isStale(), "before its first event");
    handle(new Event.Tick());
    readNothing(1, 0, 1);
    assertTrue(isStale(), "the read may be older than the pause");
    idle(2);
    readNothing(1, 0, 1);
    assertFalse(isStale());
  }

  private boolean isStale() {
    return controller.isStale(clock.getAsLong());
  }

  private void idle(int seconds) {
    for (int i = 0; i < seconds; i++) {
      clock.advance(Duration.ofSeconds(1));
      handle(new Event.Tick());
    }
  }

  private List<MemberId> fetchedFrom() {
    return effects.take(Effect.Send.class).stream()
        .filter(s -> s.message() instanceof ConfigFetch)
        .map(Effect.Send::to)
        .toList();
  }

  private void receive(MemberId from, PeerMessage m) {
    handle(new Event.MessageReceived(from, m));
  }

  private void read(long from, long oldest, LogEntry... entries) {
    handle(logRead(from, oldest, from + entries.length, List.of(entries)));
  }

  private void readNothing(long from, long oldest, long end) {
    handle(logRead(from, oldest, end, List.of()));
  }

  private static Event.LogRead logRead(long from, long oldest, long end, List<LogEntry> entries) {
    List<StoredEntry> stored = new ArrayList<>();
    for (LogEntry e : entries) {
      stored.add(new StoredEntry(from + stored.size(), Optional.of(e)));
    }
    return new Event.LogRead(LogStream.CONFIG, from, stored, oldest, end);
  }

  private void handle(Event e) {
    handle(controller, e);
  }

  private void handle(ConfigController c, Event e) {
    c.handle(e, clock.getAsLong());
  }

  private static Event roster(MemberId self, List<MemberId> live) {
    return new Event.RosterChanged(
        Roster.of(self, live.stream().map(ConfigControllerTest::member).toList()));
  }

  private static Member member(MemberId id) {
    return new Member(id, new Endpoint("127.0.0.1", 1), new ZoneId("a"), Optional.empty(), false);
  }

  private static ConfigTransfer transfer(long version, long nextOffset) {
    return new ConfigTransfer(
        new ConfigState(version, text("v" + version), List.of("v" + version), nextOffset));
  }

  private static ConfigProposal proposal(String id, long base) {
    return new ConfigProposal(id, base, text(id));
  }

  private static String text(String name) {
    return "name = \"" + name + "\"\npriorities = [\"high\"]\n[zones.a]\n";
  }
}
