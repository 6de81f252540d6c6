package org.pomelohollow.decision.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.junit.RecordedEffects;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;

class HolderTableTest {
  private static final QuotaPiece PIECE = new QuotaPiece(new AccountId("a"), 0);
  private static final MemberId A = new MemberId("a", 1);
  private static final MemberId B = new MemberId("b", 1);

  private final RecordedEffects effects = new RecordedEffects();
  private final List<HolderTable.AcceptedClaim> accepted = new ArrayList<>();
  private final HolderTable holders = new HolderTable(effects, (c, t) -> accepted.add(c));

  @Example
  void ofTwoClaimsWithTheSameBaseOffsetTheFirstIsAccepted() {
    read(0, 0, claim(0, A, -1), claim(1, B, -1));
    assertEquals(A, holder());
    assertEquals(1, accepted.size());
  }

  @Example
  void aClaimWhoseWriterReadTheLastAcceptedClaimIsAccepted() {
    read(0, 0, claim(0, A, -1), claim(1, B, 0), claim(2, A, 0));
    assertEquals(B, holder());
  }

  @Example
  void anEntryReadTwiceIsAppliedOnce() {
    read(0, 0, claim(0, A, -1), claim(1, B, 0));
    read(0, 0, claim(0, A, -1));
    assertEquals(B, holder());
    assertEquals(2, accepted.size());
  }

  @Example
  void aGapIsReadAgain() {
    read(3, 0, claim(3, A, 2));
    assertTrue(accepted.isEmpty());
    assertEquals(
        List.of(new Effect.SeekStream(LogStream.QUOTA, 0)), effects.take(Effect.SeekStream.class));
  }

  @Example
  void entriesNoLongerRetainedLeaveTheTableIncompleteButFresh() {
    assertTrue(holders.isComplete());
    read(0, 5);
    assertFalse(holders.isComplete());
    assertEquals(4, holders.lastReadOffset());
    assertTrue(holders.isFresh(0, 1));
  }

  private MemberId holder() {
    return holders.find(PIECE).orElseThrow().holder();
  }

  private void read(long from, long oldest, StoredEntry... entries) {
    long end = entries.length == 0 ? oldest : entries[entries.length - 1].offset() + 1;
    holders.handleLogRead(
        new Event.LogRead(LogStream.QUOTA, from, List.of(entries), oldest, end), 0);
  }

  private static StoredEntry claim(long offset, MemberId by, long base) {
    PieceClaim c = new PieceClaim(PIECE, by, Optional.empty(), PieceClaim.Kind.TAKEN, 0);
    return new StoredEntry(offset, Optional.of(new PiecesClaimed(by, 1, base, List.of(c))));
  }
}
