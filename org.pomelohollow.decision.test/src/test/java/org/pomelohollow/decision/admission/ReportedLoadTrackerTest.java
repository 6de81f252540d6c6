package org.pomelohollow.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.model.ReportedLoad;
import org.pomelohollow.model.TargetIncarnation;
import org.pomelohollow.model.TargetLoad;

/** Guards against reports that are used although they are late, foreign or incomplete. */
class ReportedLoadTrackerTest {
  private static final TargetIncarnation TARGET = new TargetIncarnation("i", 1);
  private static final int SLOTS = 20;

  private final ManualClock clock = new ManualClock();
  private final ReportedLoadTracker tracker = new ReportedLoadTracker();

  ReportedLoadTrackerTest() {
    tracker.setTarget(TARGET);
  }

  @Test
  void withoutAReportNothingIsKnown() {
    assertUnknown();
  }

  @Test
  void aReportWithoutASlowdownIsIgnored() {
    assertFalse(report(TARGET, 18, TargetLoad.SLOWDOWN_UNKNOWN, 0));
    assertUnknown();
  }

  @Test
  void aSlowdownDecaysTowardsOneAndIsVoidAfterASecond() {
    report(TARGET, 0, 2.5, 0);
    assertEquals(2.5, tracker.slowdown(now()));
    double before = 2.5;
    for (int i = 0; i < 9; i++) {
      clock.advance(Duration.ofMillis(100));
      double slowdown = tracker.slowdown(now());
      assertTrue(slowdown < before && slowdown > 1, () -> "slowdown " + slowdown);
      before = slowdown;
    }
    clock.advance(Duration.ofMillis(100));
    assertUnknown();
  }

  @Test
  void aFastHostDecaysTowardsOneFromBelow() {
    report(TARGET, 0, 0.7, 0);
    clock.advance(Duration.ofMillis(500));
    double slowdown = tracker.slowdown(now());
    assertTrue(slowdown > 0.7 && slowdown < 1, () -> "slowdown " + slowdown);
  }

  @Test
  void aReportOfAFormerIncarnationIsIgnored() {
    report(TARGET, 18, 2.5, 0);
    TargetIncarnation next = new TargetIncarnation("i", 2);
    tracker.setTarget(next);
    assertUnknown();
    assertFalse(report(TARGET, 18, 2.5, 0));
    assertUnknown();
    assertTrue(report(next, 3, 1, 3));
    assertEquals(1, tracker.slowdown(now()));
  }

  @Test
  void anotherAnnouncementOfTheSameIncarnationKeepsTheReport() {
    report(TARGET, 0, 2.5, 0);
    tracker.setTarget(new TargetIncarnation("i", 1));
    assertEquals(2.5, tracker.slowdown(now()));
  }

  @Test
  void responsesOnTheirWayTakeNoSlots() {
    report(TARGET, 10, 1, 10);
    for (int i = 0; i < 100; i++) {
      clock.advance(Duration.ofMillis(20));
      report(TARGET, 10, 1, i % 5 == 0 ? 10 : 6);
      assertEquals(0, tracker.foreignSlots(now()));
    }
  }

  @Test
  void requestsOfAFormerRunOfTheDaemonTakeSlotsUntilTheyEnd() {
    report(TARGET, 15, 1, 1);
    assertEquals(14, tracker.foreignSlots(now()));
    for (int left = 13; left >= 0; left--) {
      clock.advance(Duration.ofMillis(30));
      report(TARGET, left + 4, 1, 4);
      assertEquals(left, tracker.foreignSlots(now()));
    }
  }

  @Test
  void slotsThatAreTakenLaterAreNoticedWithinTwoWindows() {
    report(TARGET, 5, 1, 5);
    for (int i = 0; i < 21; i++) {
      clock.advance(Duration.ofMillis(20));
      report(TARGET, 12, 1, 5);
    }
    assertEquals(7, tracker.foreignSlots(now()));
  }

  @Test
  void operatorsLearnOfTheFirstReportAndOfTheFirstForeignSlotsOnly() {
    assertTrue(report(TARGET, 5, 1, 5));
    int notable = 0;
    for (int i = 0; i < 200; i++) {
      clock.advance(Duration.ofMillis(20));
      notable += report(TARGET, 12, i % 2 == 0 ? 1 : 2.5, i < 100 ? 5 : 12) ? 1 : 0;
    }
    assertEquals(1, notable);
  }

  private boolean report(TargetIncarnation from, int running, double slowdown, int own) {
    return tracker.record(from, new ReportedLoad(running, 0, SLOTS, slowdown), own, now());
  }

  private void assertUnknown() {
    assertEquals(TargetLoad.SLOWDOWN_UNKNOWN, tracker.slowdown(now()));
    assertEquals(0, tracker.foreignSlots(now()));
  }

  private long now() {
    return clock.getAsLong();
  }
}
