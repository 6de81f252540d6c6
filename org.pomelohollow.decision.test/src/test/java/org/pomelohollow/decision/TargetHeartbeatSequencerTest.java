package org.pomelohollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.pomelohollow.decision.TargetHeartbeatSequencer.Outcome;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;

class TargetHeartbeatSequencerTest {
  private final TargetHeartbeatSequencer sequencer = new TargetHeartbeatSequencer();

  @Test
  void anOutOfOrderHeartbeatIsStaleAndChangesNothing() {
    assertEquals(Outcome.IN_SERVICE, sequencer.accept(heartbeat("i", 100, 5, false)));
    assertEquals(Outcome.STALE, sequencer.accept(heartbeat("i", 100, 4, false)));
    assertEquals(Outcome.IN_SERVICE, sequencer.accept(heartbeat("i", 100, 6, false)));
  }

  @Test
  void aDrainingIncarnationNeverReturnsToService() {
    sequencer.accept(heartbeat("i", 100, 5, false));
    assertEquals(Outcome.DRAINING, sequencer.accept(heartbeat("i", 100, 6, true)));
    assertEquals(Outcome.STALE, sequencer.accept(heartbeat("i", 100, 7, false)));
  }

  @Test
  void aNewIncarnationWithTheSameIdentifierRestartsTheSequence() {
    sequencer.accept(heartbeat("i", 100, 50, true));
    assertEquals(Outcome.IN_SERVICE, sequencer.accept(heartbeat("i", 200, 1, false)));
  }

  @Test
  void aHeartbeatOfAnEarlierIncarnationIsStale() {
    sequencer.accept(heartbeat("new", 200, 1, false));
    assertEquals(Outcome.STALE, sequencer.accept(heartbeat("old", 100, 99, false)));
  }

  @Test
  void aHeartbeatWithoutAStartTimeDoesNotReplaceAnIncarnationThatHasOne() {
    sequencer.accept(heartbeat("new", 200, 1, false));
    assertEquals(Outcome.STALE, sequencer.accept(heartbeat("old", 0, 99, false)));
  }

  @Test
  void onlyTheCurrentIncarnationCanWithdraw() {
    sequencer.accept(heartbeat("new", 200, 1, false));
    assertFalse(sequencer.withdraw("old", 100));
    assertFalse(sequencer.withdraw("new", 100));
    assertTrue(sequencer.withdraw("new", 0));
    assertEquals(Outcome.STALE, sequencer.accept(heartbeat("new", 200, 2, false)));
  }

  /** A daemon that was restarted learns of a withdrawal before it knows the target. */
  @Test
  void aDelayedHeartbeatOfAnIncarnationThatWithdrewIsStale() {
    assertFalse(sequencer.withdraw("i", 100));
    assertEquals(Outcome.STALE, sequencer.accept(heartbeat("i", 100, 7, false)));
    assertEquals(Outcome.IN_SERVICE, sequencer.accept(heartbeat("i", 200, 1, false)));
  }

  @Test
  void aWithdrawalOfAnEarlierIncarnationIsKeptWhileAnotherServes() {
    sequencer.accept(heartbeat("new", 100, 1, false));
    assertFalse(sequencer.withdraw("old", 150));
    assertEquals(Outcome.STALE, sequencer.accept(heartbeat("old", 150, 7, false)));
    assertEquals(Outcome.IN_SERVICE, sequencer.accept(heartbeat("new", 100, 2, false)));
  }

  /** Without a start time, a later incarnation of the same name could not be told apart. */
  @Test
  void aWithdrawalWithoutAStartTimeIsNotKept() {
    assertFalse(sequencer.withdraw("i", 0));
    assertEquals(Outcome.IN_SERVICE, sequencer.accept(heartbeat("i", 100, 7, false)));
  }

  private static TargetHeartbeat heartbeat(
      String id, long startedMillis, long sequence, boolean draining) {
    return new TargetHeartbeat(
        new TargetAnnouncement(
            new ServiceId("s"), new Endpoint("10.0.0.1", 1), id, 8, 8, startedMillis, false, 0, 0),
        sequence,
        draining);
  }
}
