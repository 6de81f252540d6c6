package org.pomelohollow.decision.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.Example;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.junit.RecordedEffects;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;

class LenderTest {
  private static final AccountId ACCOUNT = new AccountId("a");
  private static final Piece PIECE = new Piece(ACCOUNT, 0);
  private static final MemberId SELF = new MemberId("a", 1);
  private static final MemberId W = new MemberId("w", 1);
  private static final MemberId V = new MemberId("v", 1);
  private static final long SECOND = 1_000_000_000L;

  private final QuotaTerms terms = QuotaTerms.standard();
  private final RecordedEffects effects = new RecordedEffects();
  private final HolderLease lease = new HolderLease(terms, effects);
  private final Lender lender =
      new Lender(
          SELF, terms, lease, a -> Optional.of(new AccountEntry(ACCOUNT, 3, 30, 1)), effects);

  @Example
  void lendsOnlyWithinTheLeaseOfItsWitness() {
    take(W, PieceClaim.Kind.FIRST);
    assertEquals(0, lender.available(PIECE, 0));
    acknowledge(W, 0);
    assertEquals(10, lender.available(PIECE, 0));
    assertEquals(0, lender.available(PIECE, terms.lease()));
  }

  @Example
  void aSentChangeOfWitnessNeedsBoth() {
    take(W, PieceClaim.Kind.FIRST);
    acknowledge(W, 0);
    lender.requireAlso(PIECE, Optional.of(V));
    assertEquals(0, lender.available(PIECE, 0));
    acknowledge(V, terms.renewal());
    assertEquals(10, lender.available(PIECE, terms.renewal()));
  }

  @Example
  void aPieceThatWasTakenStartsEmptyAfterLeaseAndLoan() {
    take(W, PieceClaim.Kind.TAKEN);
    long ready = QuotaTerms.padded(terms.lease() + terms.loan());
    acknowledge(W, ready - 1);
    assertEquals(0, lender.available(PIECE, ready - 1));
    assertEquals(false, lender.held().get(PIECE).isReady(ready - 1));
    assertEquals(1, lender.available(PIECE, ready + SECOND), 0.01);
  }

  private void acknowledge(MemberId witness, long nowNanos) {
    lease.renew(Set.of(W, V), nowNanos);
    for (LeaseRenewal r : effects.takeMessages(LeaseRenewal.class)) {
      lease.acknowledged(witness, new LeaseAcknowledgement(r.sequence()), nowNanos);
    }
  }

  private void take(MemberId witness, PieceClaim.Kind kind) {
    PieceClaim c = new PieceClaim(PIECE, SELF, Optional.of(witness), kind, 0);
    Ownership.Holding h = new Ownership.Holding(0, SELF, Optional.of(witness), 0);
    PiecesClaimed e = new PiecesClaimed(SELF, 1, -1, List.of(c));
    lender.accepted(new Ownership.Change(Optional.empty(), h, e, c), OptionalLong.of(0), 0);
  }
}
