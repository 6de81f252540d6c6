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
  private static final int DRAWS = 1_000;

  private final ManualClock clock = new ManualClock();
  private final Router router = new Router(new SplittableRandom(1));
  private final List<Member> members = new ArrayList<>();

  @Example
  void anIdleOwnZoneGetsEverything() {
    fleet(3, 10);
    publish(true);
    assertEquals(Set.of("h0"), draw().keySet());
  }

  @Example
  void aBusyOwnZoneSpillsOver() {
    fleet(3, 10);
    publish(true);
    report("h0", new TargetLoad(10, 10, 10, Priority.NONE_SHED));
    report("h1", new TargetLoad(10, 1, 0, Priority.NONE_SHED));
    report("h2", new TargetLoad(10, 1, 0, Priority.NONE_SHED));
    assertEquals(Set.of("h1", "h2"), draw().keySet());
  }

  @Example
  void aTargetWithASmallLimitGetsItsPart() {
    member("h0", "z1", 2);
    member("h1", "z1", 20);
    publish(true);
    Map<String, Integer> held = new HashMap<>();
    for (int i = 0; i < 22; i++) {
      MemberId id = router.choose(SERVICE, Set.of(), clock.getAsLong()).orElseThrow();
      router.started(id);
      held.merge(id.host(), 1, Integer::sum);
    }
    assertTrue(held.getOrDefault("h0", 0) <= 3, held::toString);
  }

  @Example
  void failingMembersAreLeftOutButNeverMoreThanHalf() {
    fleet(1, 10);
    member("h1", "z0", 10);
    member("h2", "z0", 10);
    publish(true);
    fail("h0");
    assertEquals(Set.of("h1", "h2"), draw().keySet());
    fail("h1");
    fail("h2");
    assertEquals(Set.of("h1", "h2"), draw().keySet());
    clock.advance(Duration.ofSeconds(3));
    assertTrue(draw().containsKey("h0"));
  }

  @Example
  void aSingleMemberIsNeverLeftOut() {
    fleet(1, 10);
    publish(true);
    fail("h0");
    assertEquals(Set.of("h0"), draw().keySet());
  }

  @Example
  void aZoneOutOfServiceGetsNothingAndReturnsGradually() {
    member("h1", "z1", 10);
    member("h0", "z0", 10);
    publish(true);
    publish(false);
    assertEquals(Set.of("h1"), draw().keySet());
    publish(true);
    report("h1", new TargetLoad(10, 8, 0, Priority.NONE_SHED));
    assertEquals(0, drawOutstanding(1).getOrDefault("h0", 0));
    clock.advance(Duration.ofSeconds(11));
    report("h1", new TargetLoad(10, 8, 0, Priority.NONE_SHED));
    assertEquals(1, drawOutstanding(1).getOrDefault("h0", 0));
  }

  @Example
  void triedMembersAreChosenOnlyWhenAskedFor() {
    fleet(1, 10);
    publish(true);
    Set<MemberId> tried = Set.of(members.get(0).id());
    assertEquals(Optional.empty(), router.choose(SERVICE, tried, clock.getAsLong()));
    assertTrue(router.chooseAgain(SERVICE, tried, clock.getAsLong()).isPresent());
  }

  @Example
  void theCutOffIsTheLeastRestrictiveOfAllAndExpires() {
    fleet(2, 10);
    publish(true);
    report("h0", new TargetLoad(10, 10, 9, new Priority(0)));
    assertEquals(Priority.NONE_SHED, router.cutOff(SERVICE, clock.getAsLong()));
    report("h1", new TargetLoad(10, 10, 9, new Priority(1)));
    assertEquals(new Priority(1), router.cutOff(SERVICE, clock.getAsLong()));
    clock.advance(Duration.ofSeconds(1));
    assertEquals(Priority.NONE_SHED, router.cutOff(SERVICE, clock.getAsLong()));
  }

  @Example
  void subsetsAreBoundedSpreadOverZonesAndFairlyEven() {
    fleet(150, 10);
    Map<MemberId, Integer> entries = new HashMap<>();
    for (int i = 0; i < 1_500; i++) {
      MemberId self = new MemberId("entry" + i, 1);
      List<Member> subset = Subset.of(self, new ZoneId("z" + i % 3), members);
      assertEquals(Subset.SIZE, new HashSet<>(subset).size());
      assertEquals(3, subset.stream().map(Member::zone).distinct().count());
      subset.forEach(m -> entries.merge(m.id(), 1, Integer::sum));
    }
    int mean = 1_500 * Subset.SIZE / 150;
    int least = entries.values().stream().mapToInt(n -> n).min().orElse(0);
    int most = entries.values().stream().mapToInt(n -> n).max().orElse(0);
    if (Boolean.getBoolean("pomelohollow.measure")) {
      System.out.println("entries of a target: " + least + " to " + most + ", mean " + mean);
    }
    assertTrue(least > 0.7 * mean && most < 1.3 * mean, least + " to " + most);
  }

  @Example
  void aSubsetChangesByOneMemberWhenOneLeaves() {
    fleet(150, 10);
    MemberId self = new MemberId("entry", 1);
    Set<Member> before = new HashSet<>(Subset.of(self, new ZoneId("z0"), members));
    Member gone = before.iterator().next();
    List<Member> rest = members.stream().filter(m -> !m.equals(gone)).toList();
    Set<Member> after = new HashSet<>(Subset.of(self, new ZoneId("z0"), rest));
    assertNotEquals(before, after);
    after.removeAll(before);
    assertEquals(1, after.size());
  }

  private void fleet(int n, int limit) {
    for (int i = 0; i < n; i++) {
      member("h" + i, "z" + i % 3, limit);
    }
  }

  private void member(String host, String zone, int limit) {
    TargetState t = new TargetState(SERVICE, 10, limit, false, false);
    members.add(
        new Member(
            new MemberId(host, 1),
            new Endpoint("127.0.0.1", 1),
            new ZoneId(zone),
            Optional.of(t),
            false));
  }

  private void publish(boolean firstZoneInService) {
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

  private void report(String host, TargetLoad load) {
    end(host, AttemptResult.Outcome.ANSWERED, Optional.of(load));
  }

  private void fail(String host) {
    for (int i = 0; i < 5; i++) {
      end(host, AttemptResult.Outcome.LOST, Optional.empty());
    }
  }

  private void end(String host, AttemptResult.Outcome o, Optional<TargetLoad> load) {
    MemberId id = new MemberId(host, 1);
    router.started(id);
    router.ended(id, new AttemptResult(o, 1_000_000, load), clock.getAsLong());
  }

  private Map<String, Integer> draw() {
    Map<String, Integer> out = new HashMap<>();
    for (int i = 0; i < DRAWS; i++) {
      router
          .choose(SERVICE, Set.of(), clock.getAsLong())
          .ifPresent(id -> out.merge(id.host(), 1, Integer::sum));
    }
    return out;
  }

  /** Draws for attempts that stay outstanding. */
  private Map<String, Integer> drawOutstanding(int n) {
    Map<String, Integer> out = new HashMap<>();
    for (int i = 0; i < n; i++) {
      MemberId id = router.choose(SERVICE, Set.of(), clock.getAsLong()).orElseThrow();
      router.started(id);
      out.merge(id.host(), 1, Integer::sum);
    }
    return out;
  }
}
