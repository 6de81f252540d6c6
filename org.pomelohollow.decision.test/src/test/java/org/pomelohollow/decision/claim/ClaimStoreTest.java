package org.pomelohollow.decision.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.pomelohollow.decision.guard.RecordedResponse;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ServiceId;

class ClaimStoreTest {
  private static final ClaimSettings SETTINGS = new ClaimSettings(1_000, 10, 2, 10, 10);
  private static final ClaimKey KEY = new ClaimKey(Optional.empty(), new ServiceId("s"), "k");
  private static final RecordedResponse RESPONSE = new RecordedResponse(200, List.of(), "12345678");

  private final ClaimStore store = new ClaimStore(SETTINGS);

  private static ClaimRecord claim(ClaimKey key, int executor, long ageNanos) {
    return new ClaimRecord(
        key, 1, "r", id(executor), ageNanos, ClaimState.RUNNING, Optional.empty());
  }

  private static ClaimId id(int executor) {
    return new ClaimId(new MemberId("h" + executor, 1), 1);
  }

  private ClaimState state() {
    return store.find(KEY, 0).orElseThrow().state();
  }

  @Example
  void twoMergedClaimsOnOneKeyCannotBeReleased() {
    store.put(claim(KEY, 1, 0), 0);
    store.merge(claim(KEY, 2, 0), 0);
    store.advanceState(KEY, id(1), ClaimState.RELEASED, Optional.empty());
    store.advanceState(KEY, id(2), ClaimState.RELEASED, Optional.empty());
    assertEquals(ClaimState.UNKNOWN, state());
  }

  @Example
  void aReleaseOfAnotherClaimOrAfterTheRunChangesNothing() {
    store.put(claim(KEY, 1, 0), 0);
    store.advanceState(KEY, id(2), ClaimState.RELEASED, Optional.empty());
    assertEquals(ClaimState.RUNNING, state());
    store.advanceState(KEY, id(1), ClaimState.RAN, Optional.of(RESPONSE));
    store.advanceState(KEY, id(1), ClaimState.RELEASED, Optional.empty());
    store.advanceState(KEY, id(1), ClaimState.UNKNOWN, Optional.empty());
    assertEquals(ClaimState.RAN, state());
    assertEquals(Optional.of(RESPONSE), store.find(KEY, 0).orElseThrow().response());
  }

  @Example
  void aResponseThatExceedsTheLimitIsNotStoredButItsClaimIs() {
    ClaimKey other = new ClaimKey(Optional.empty(), new ServiceId("s"), "l");
    store.put(claim(KEY, 1, 0), 0);
    store.put(claim(other, 1, 0), 0);
    assertTrue(store.isFull());
    store.advanceState(KEY, id(1), ClaimState.RAN, Optional.of(RESPONSE));
    store.advanceState(other, id(1), ClaimState.RAN, Optional.of(RESPONSE));
    assertEquals(8, store.responseBytes());
    assertEquals(ClaimState.RAN, store.find(other, 0).orElseThrow().state());
  }

  @Example
  void aTransferredClaimKeepsItsAge() {
    store.merge(claim(KEY, 1, 900), 5_000);
    store.expire(5_100);
    assertEquals(1, store.claimCount());
    store.expire(5_101);
    assertEquals(0, store.claimCount());
    assertEquals(0, store.responseBytes());
  }
}
