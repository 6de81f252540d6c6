package org.pomelohollow.decision.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.ServiceId;

/** Guards against reports without a bound, and against accounts that are never reported. */
class EntryDemandTest {
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final long MILLI = 1_000_000;
  private static final long INTERVAL = 500 * MILLI;
  private static final long VALID = 2_000 * MILLI;

  private final EntryDemand demand = new EntryDemand(SERVICE, a -> 1);

  @Test
  void everyRequestIsReportedOnceInReportsOfAtMostSixteen() {
    for (int i = 0; i < 40; i++) {
      for (int n = 0; n <= i; n++) {
        demand.count(new AccountId("a" + i), 1);
      }
    }
    demand.recordPressure(0);
    List<AccountDemand> reported = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      DemandReport r = demand.nextReport(INTERVAL, i * INTERVAL).orElseThrow();
      assertTrue(r.demands().size() <= DemandReport.MAX_DEMANDS);
      reported.addAll(r.demands());
    }
    assertEquals(40, reported.size());
    assertEquals(820, reported.stream().mapToDouble(AccountDemand::demand).sum());
  }

  @Test
  void nothingIsReportedWithoutPressure() {
    demand.count(new AccountId("a"), 1);
    assertTrue(demand.nextReport(INTERVAL, 0).isEmpty());
    demand.recordPressure(INTERVAL);
    assertEquals(List.of(), demand.nextReport(INTERVAL, INTERVAL).orElseThrow().demands());
    assertTrue(demand.nextReport(INTERVAL, INTERVAL + 5_001 * MILLI).isEmpty());
  }

  @Test
  void accountsWithinTheLevelAreRefusedNothing() {
    AccountId big = new AccountId("big");
    AccountId small = new AccountId("small");
    demand.onSummary(summary(new AccountDemand(big, 1, 70), new AccountDemand(small, 1, 5)), 0);
    // Half of 95 is kept: 5 for the small one, 20 for the unknown ones at 10 each, 22.5 for big.
    assertEquals(Optional.of(0.0), demand.shareToRefuse(small, 1, 0.5, VALID, MILLI));
    assertEquals(0.0, demand.shareToRefuse(new AccountId("x"), 1, 0.5, VALID, MILLI).orElseThrow());
    assertEquals(
        1 - 22.5 / 70, demand.shareToRefuse(big, 1, 0.5, VALID, MILLI).orElseThrow(), 1e-9);
  }

  @Test
  void summariesAreNotUsedAfterTwoSeconds() {
    AccountId big = new AccountId("big");
    demand.onSummary(summary(new AccountDemand(big, 1, 70), new AccountDemand(big, 1, 70)), 0);
    assertTrue(demand.shareToRefuse(big, 1, 0.5, VALID, VALID).isPresent());
    assertTrue(demand.shareToRefuse(big, 1, 0.5, VALID, VALID + 1).isEmpty());
    assertTrue(demand.shareToRefuse(big, 0, 0.5, VALID, 1).isEmpty(), "no demand of this rank");
  }

  @Test
  void fallbackIsToldOnceAtItsStartAndEnd() {
    demand.recordPressure(0);
    assertTrue(demand.fallbackChange(VALID, VALID).isEmpty());
    assertEquals(Optional.of(true), demand.fallbackChange(VALID, VALID + 1));
    assertTrue(demand.fallbackChange(VALID, VALID + 2).isEmpty());
    demand.onSummary(summary(), VALID + 3);
    assertEquals(Optional.of(false), demand.fallbackChange(VALID, VALID + 3));
    assertFalse(demand.fallbackChange(VALID, VALID + 4).isPresent());
  }

  private static DemandSummary summary(AccountDemand... demands) {
    return new DemandSummary(SERVICE, List.of(new RankDemand(1, 95, 4)), List.of(demands));
  }
}
