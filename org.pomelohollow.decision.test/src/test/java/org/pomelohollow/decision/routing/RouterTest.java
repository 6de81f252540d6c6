package org.pomelohollow.decision.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.ZoneId;

class RouterTest {
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final int CHOICES = 1_000;

  private final ManualClock clock = new ManualClock();
  private final ZoneSpill spill = new ZoneSpill(new SplittableRandom(2), e -> {});
  private final Router router = new Router(new SplittableRandom(1), spill);
  private final List<Member> members = new ArrayList<>();

  @Example
  void anIdleOwnZoneGetsAllAttempts() {
    addMembers(3, 10);
    publishConfigAndRoster(true);
    assertEquals(Set.of("h0"), choose().keySet());
  }

  @Example
  void attemptsGoToOtherZonesWhenTheOwnZoneIsBusy() {
    addMembers(3, 10);
    publishConfigAndRoster(true);
    reportLoad("h0", new TargetLoad(10, 10, 10, Priority.NONE_SHED));
    reportLoad("h1", new TargetLoad(10, 1, 0, Priority.NONE_SHED));
    reportLoad("h2", new TargetLoad(10, 1, 0, Priority.NONE_SHED));
    assertEquals(Set.of("h1", "h2"), choose().keySet());
  }

  @Example
  void aTargetWithASmallLimitGetsAProportionalShare() {
    addMember("h0", "z1", 2);
    addMember("h1", "z1", 20);
    publishConfigAndRoster(true);
    Map<String, Integer> startedByHost = new HashMap<>();
    for (int i = 0; i < 22; i++) {
      MemberId id = router.choose(SERVICE, Set.of(), clock.getAsLong()).orElseThrow();
      router.attemptStarted(id, clock.getAsLong());
      startedByHost.merge(id.host(), 1, Integer::sum);
    }
    assertTrue(startedByHost.getOrDefault("h0", 0) <= 3, startedByHost::toString);
  }

  @Example
  void failingMembersAreEjectedButNeverMoreThanHalf() {
    addMembers(1, 10);
    addMember("h1", "z0", 10);
    addMember("h2", "z0", 10);
    publishConfigAndRoster(true);
    loseAttempts("h0");
    assertEquals(Set.of("h1", "h2"), choose().keySet());
    loseAttempts("h1");
    loseAttempts("h2");
    assertEquals(Set.of("h1", "h2"), choose().keySet());
    clock.advance(Duration.ofSeconds(3));
    assertTrue(choose().containsKey("h0"));
  }

  @Example
  void aSingleMemberIsNeverEjected() {
    addMembers(1, 10);
    publishConfigAndRoster(true);
    loseAttempts("h0");
    assertEquals(Set.of("h0"), choose().keySet());
  }

  @Example
  void aZoneOutOfServiceGetsNothingAndReturnsGradually() {
    addMember("h1", "z1", 10);
    addMember("h0", "z0", 10);
    publishConfigAndRoster(true);
    publishConfigAndRoster(false);
    assertEquals(Set.of("h1"), choose().keySet());
    publishConfigAndRoster(true);
    reportLoad("h1", new TargetLoad(10, 10, 0, Priority.NONE_SHED));
    assertTrue(chooseAndStart(10).getOrDefault("h0", 0) <= 1);
    clock.advance(Duration.ofSeconds(11));
    reportLoad("h1", new TargetLoad(10, 10, 0, Priority.NONE_SHED));
    assertTrue(chooseAndStart(10).getOrDefault("h0", 0) >= 8);
  }

  /** Guards against requests that leave although their own zone has free slots. */
  @Example
  void attemptsStayInAnOwnZoneWithFreeSlots() {
    addMembers(3, 10);
    publishConfigAndRoster(true);
    reportLoad("h0", new TargetLoad(10, 8, 0, Priority.NONE_SHED));
    reportLoad("h1", new TargetLoad(10, 0, 0, Priority.NONE_SHED));
    assertEquals(Set.of("h0"), choose().keySet());
  }

  /** Guards against one target with few usable slots that makes its whole zone look full. */
  @Example
  void aTargetWithASmallLimitCountsLittleInTheLoadOfItsZone() {
    for (int i = 0; i < 5; i++) {
      addMember("h" + i, "z0", 10);
    }
    addMember("h5", "z1", 10);
    publishConfigAndRoster(true);
    for (int i = 0; i < 4; i++) {
      reportLoad("h" + i, new TargetLoad(10, 5, 0, Priority.NONE_SHED));
    }
    reportLoad("h4", new TargetLoad(1, 1, 4, Priority.NONE_SHED));
    reportLoad("h5", new TargetLoad(10, 0, 0, Priority.NONE_SHED));
    choose();
    assertEquals(0, spill.share(SERVICE));
  }

  @Example
  void triedMembersAreChosenOnlyByChooseAllowingTried() {
    addMembers(1, 10);
    publishConfigAndRoster(true);
    Set<MemberId> tried = Set.of(members.get(0).id());
    assertEquals(Optional.empty(), router.choose(SERVICE, tried, clock.getAsLong()));
    assertTrue(router.chooseAllowingTried(SERVICE, tried, clock.getAsLong()).isPresent());
  }

  @Example
  void theCutOffIsTheLeastRestrictiveOfAllAndExpires() {
    addMembers(2, 10);
    publishConfigAndRoster(true);
    reportLoad("h0", new TargetLoad(10, 10, 9, new Priority(0)));
    assertEquals(Priority.NONE_SHED, router.cutOff(SERVICE, clock.getAsLong()));
    reportLoad("h1", new TargetLoad(10, 10, 9, new Priority(1)));
    assertEquals(new Priority(1), router.cutOff(SERVICE, clock.getAsLong()));
    clock.advance(Duration.ofSeconds(1));
    assertEquals(Priority.NONE_SHED, router.cutOff(SERVICE, clock.getAsLong()));
  }

  @Example
  void subsetsAreBoundedSpreadOverZonesAndNearlyEven() {
    addMembers(150, 10);
    Map<MemberId, Integer> entryDaemonsByMember = new HashMap<>();
    for (int i = 0; i < 1_500; i++) {
      MemberId self = new MemberId("entry" + i, 1);
      List<Member> subset = Subset.of(self, new ZoneId("z" + i % 3), members);
      assertEquals(Subset.SIZE, new HashSet<>(subset).size());
      assertEquals(3, subset.stream().map(Member::zone).distinct().count());
      subset.forEach(m -> entryDaemonsByMember.merge(m.id(), 1, Integer::sum));
    }
    int mean = 1_500 * Subset.SIZE / 150;
    int min = entryDaemonsByMember.values().stream().mapToInt(count -> count).min().orElse(0);
    int max = entryDaemonsByMember.values().stream().mapToInt(count -> count).max().orElse(0);
    if (Boolean.getBoolean("pomelohollow.measure")) {
      System.out.println("entries of a target: " + min + " to " + max + ", mean " + mean);
    }
    assertTrue(min > 0.7 * mean && max < 1.3 * mean, min + " to " + max);
  }

  @Example
  void aSubsetChangesByOneMemberWhenOneLeaves() {
    addMembers(150, 10);
    MemberId self = new MemberId("entry", 1);
    Set<Member> before = new HashSet<>(Subset.of(self, new ZoneId("z0"), members));
    Member removed = before.iterator().next();
    List<Member> remaining = members.stream().filter(m -> !m.equals(removed)).toList();
    Set<Member> after = new HashSet<>(Subset.of(self, new ZoneId("z0"), remaining));
    assertNotEquals(before, after);
    after.removeAll(before);
    assertEquals(1, after.size());
  }

  private void addMembers(int count, int limit) {
    for (int i = 0; i < count; i++) {
      addMember("h" + i, "z" + i % 3, limit);
    }
  }

  private void addMember(String host, String zone, int limit) {
    TargetState state = new TargetState(SERVICE, 10, limit, false, false);
    members.add(
        new Member(
            new MemberId(host, 1),
            new Endpoint("127.0.0.1", 1),
            new ZoneId(zone),
            Optional.of(state),
            false));
  }

  private void publishConfigAndRoster(boolean firstZoneInService) {
    Map<ZoneId, ZoneEntry> zones = new HashMap<>();
    for (int i = 0; i < 3; i++) {
      ZoneId z = new ZoneId("z" + i);
      zones.put(z, new ZoneEntry(z, "r", i > 0 || firstZoneInService));
    }
    Document d = new Document("d", List.of("p"), zones, Map.of(), List.of(), Map.of(), List.of());
    router.handle(
        new Event.ConfigActivated(new VersionedDocument(1, "c", "", d)), clock.getAsLong());
    router.handle(
        new Event.RosterChanged(Roster.of(members.get(0).id(), members)), clock.getAsLong());
  }

  private void reportLoad(String host, TargetLoad load) {
    runAttempt(host, AttemptResult.Outcome.RESPONDED, Optional.of(load));
  }

  private void loseAttempts(String host) {
    for (int i = 0; i < 5; i++) {
      runAttempt(host, AttemptResult.Outcome.LOST, Optional.empty());
    }
  }

  private void runAttempt(String host, AttemptResult.Outcome outcome, Optional<TargetLoad> load) {
    MemberId id = new MemberId(host, 1);
    router.attemptStarted(id, clock.getAsLong());
    router.attemptEnded(id, new AttemptResult(outcome, 1_000_000, load), clock.getAsLong());
  }

  /** Chooses members repeatedly without starting attempts, and counts the choices by host. */
  private Map<String, Integer> choose() {
    Map<String, Integer> choicesByHost = new HashMap<>();
    for (int i = 0; i < CHOICES; i++) {
      router
          .choose(SERVICE, Set.of(), clock.getAsLong())
          .ifPresent(id -> choicesByHost.merge(id.host(), 1, Integer::sum));
    }
    return choicesByHost;
  }

  /** Chooses members for attempts that stay outstanding, and counts the choices by host. */
  private Map<String, Integer> chooseAndStart(int count) {
    Map<String, Integer> choicesByHost = new HashMap<>();
    for (int i = 0; i < count; i++) {
      MemberId id = router.choose(SERVICE, Set.of(), clock.getAsLong()).orElseThrow();
      router.attemptStarted(id, clock.getAsLong());
      choicesByHost.merge(id.host(), 1, Integer::sum);
    }
    return choicesByHost;
  }
}
