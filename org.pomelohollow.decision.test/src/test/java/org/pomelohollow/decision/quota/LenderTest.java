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
  private static final QuotaPiece PIECE = new QuotaPiece(ACCOUNT, 0);
  private static final MemberId SELF = new MemberId("a", 1);
  private static final MemberId WITNESS = new MemberId("w", 1);
  private static final MemberId NEXT_WITNESS = new MemberId("v", 1);
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final QuotaSettings settings = QuotaSettings.standard();
  private final RecordedEffects effects = new RecordedEffects();
  private final WitnessLeases leases = new WitnessLeases(settings, effects);
  private final Lender lender =
      new Lender(
          SELF, settings, leases, a -> Optional.of(new AccountEntry(ACCOUNT, 3, 30, 1)), effects);

  @Example
  void lendsOnlyWithinTheLeaseOfItsWitness() {
    acceptClaim(WITNESS, PieceClaim.Kind.FIRST);
    assertEquals(0, lender.availableTokens(PIECE, 0));
    acknowledge(WITNESS, 0);
    assertEquals(10, lender.availableTokens(PIECE, 0));
    assertEquals(0, lender.availableTokens(PIECE, settings.leaseNanos()));
  }

  @Example
  void aSentChangeOfWitnessRequiresTheLeasesOfBoth() {
    acceptClaim(WITNESS, PieceClaim.Kind.FIRST);
    acknowledge(WITNESS, 0);
    lender.requireWitness(PIECE, Optional.of(NEXT_WITNESS));
    assertEquals(0, lender.availableTokens(PIECE, 0));
    acknowledge(NEXT_WITNESS, settings.renewalIntervalNanos());
    assertEquals(10, lender.availableTokens(PIECE, settings.renewalIntervalNanos()));
  }

  @Example
  void aPieceTakenOverStartsEmptyAfterALeaseAndALoan() {
    acceptClaim(WITNESS, PieceClaim.Kind.TAKEN);
    long ready = QuotaSettings.withDriftMargin(settings.leaseNanos() + settings.loanNanos());
    acknowledge(WITNESS, ready - 1);
    assertEquals(0, lender.availableTokens(PIECE, ready - 1));
    assertEquals(false, lender.heldPieces().get(PIECE).isReady(ready - 1));
    assertEquals(1, lender.availableTokens(PIECE, ready + NANOS_PER_SECOND), 0.01);
  }

  private void acknowledge(MemberId witness, long nowNanos) {
    leases.sendRenewals(Set.of(WITNESS, NEXT_WITNESS), nowNanos);
    for (LeaseRenewal r : effects.takeMessages(LeaseRenewal.class)) {
      leases.handleAcknowledgement(witness, new LeaseAcknowledgement(r.sequence()), nowNanos);
    }
  }

  private void acceptClaim(MemberId witness, PieceClaim.Kind kind) {
    PieceClaim c = new PieceClaim(PIECE, SELF, Optional.of(witness), kind, 0);
    HolderTable.Holding h = new HolderTable.Holding(0, SELF, Optional.of(witness), 0);
    PiecesClaimed e = new PiecesClaimed(SELF, 1, -1, List.of(c));
    lender.handleAcceptedClaim(
        new HolderTable.AcceptedClaim(Optional.empty(), h, e, c), OptionalLong.of(0), 0);
  }
}
