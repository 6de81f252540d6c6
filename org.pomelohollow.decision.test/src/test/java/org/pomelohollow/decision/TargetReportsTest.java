package org.pomelohollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.pomelohollow.decision.TargetReports.Outcome;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;

class TargetReportsTest {
  private final TargetReports reports = new TargetReports();

  @Test
  void aLateHeartbeatOfTheSameRunChangesNothing() {
    assertEquals(Outcome.SERVES, reports.take(report("i", 100, 5, false)));
    assertEquals(Outcome.LATE, reports.take(report("i", 100, 4, false)));
    assertEquals(Outcome.SERVES, reports.take(report("i", 100, 6, false)));
  }

  @Test
  void aRunThatLeavesNeverReturns() {
    reports.take(report("i", 100, 5, false));
    assertEquals(Outcome.LEAVES, reports.take(report("i", 100, 6, true)));
    assertEquals(Outcome.LATE, reports.take(report("i", 100, 7, false)));
  }

  @Test
  void aNewRunUnderTheSameIdentifierCountsAnew() {
    reports.take(report("i", 100, 50, true));
    assertEquals(Outcome.SERVES, reports.take(report("i", 200, 1, false)));
  }

  @Test
  void aHeartbeatOfAnEarlierRunIsLate() {
    reports.take(report("new", 200, 1, false));
    assertEquals(Outcome.LATE, reports.take(report("old", 100, 99, false)));
  }

  @Test
  void onlyThePresentRunCanLeave() {
    reports.take(report("new", 200, 1, false));
    assertFalse(reports.leave("old", 100));
    assertFalse(reports.leave("new", 100));
    assertTrue(reports.leave("new", 0));
    assertEquals(Outcome.LATE, reports.take(report("new", 200, 2, false)));
  }

  private static TargetReport report(String id, long started, long seq, boolean draining) {
    return new TargetReport(
        new TargetAnnouncement(
            new ServiceId("s"), new Endpoint("10.0.0.1", 1), id, 8, 8, started, false, 0, 0),
        seq,
        draining);
  }
}
