package org.pomelohollow.decision.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;

/**
 * Lends tokens of the pieces that this daemon holds, while it is certain that no other member can
 * lend them.
 */
final class Lender {
  private final MemberId self;
  private final QuotaSettings settings;
  private final WitnessLeases leases;
  private final Function<AccountId, Optional<AccountEntry>> accounts;
  private final EffectSink effects;
  private final Map<QuotaPiece, HeldPiece> heldPieces = new HashMap<>();

  Lender(
      MemberId self,
      QuotaSettings settings,
      WitnessLeases leases,
      Function<AccountId, Optional<AccountEntry>> accounts,
      EffectSink effects) {
    this.self = self;
    this.settings = settings;
    this.leases = leases;
    this.accounts = accounts;
    this.effects = effects;
  }

  /** Returns the pieces that this daemon holds according to the log. */
  Map<QuotaPiece, HeldPiece> heldPieces() {
    return heldPieces;
  }

  /** Returns the present and next witnesses of all held pieces, to get leases from. */
  Set<MemberId> witnesses() {
    Set<MemberId> out = new HashSet<>();
    heldPieces
        .values()
        .forEach(
            h -> {
              out.addAll(h.requiredWitnesses);
              h.nextWitness.ifPresent(out::add);
            });
    return out;
  }

  /**
   * Names the member that is to be the next witness of a held piece. Its lease is obtained while
   * the present witness's still holds, so that lending does not pause at the change.
   */
  void prepareWitness(QuotaPiece p, Optional<MemberId> next) {
    heldPieces.get(p).nextWitness = next;
  }

  /**
   * Updates the held pieces after a claim was accepted: this daemon obtains, keeps or loses a
   * piece.
   *
   * @param c the accepted claim
   * @param sentNanos monotonic time when this daemon sent the claim, in nanoseconds; empty if
   *     another member sent it
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void handleAcceptedClaim(HolderTable.AcceptedClaim c, OptionalLong sentNanos, long nowNanos) {
    QuotaPiece p = c.claim().piece();
    if (!c.current().holder().equals(self)) {
      heldPieces.remove(p);
      return;
    }
    HeldPiece h = heldPieces.get(p);
    if (h == null || !c.wasHeldBy(self)) {
      h = new HeldPiece(newBucket(c, nowNanos), nowNanos + takeoverDelayNanos(c));
      heldPieces.put(p, h);
      resize(p, h, nowNanos);
    }
    h.witness = c.current().witness();
    h.nextWitness = Optional.empty();
    h.requiredWitnesses.clear();
    h.witness.ifPresent(h.requiredWitnesses::add);
    h.stopped = false;
    sentNanos.ifPresent(h::recordOwnClaim);
  }

  /** Applies the rates and bursts of a new configuration to all held pieces. */
  void resizeAll(long nowNanos) {
    heldPieces.forEach((p, h) -> resize(p, h, nowNanos));
  }

  /** Returns the tokens of a piece that this daemon may spend as its holder; 0 if none. */
  double availableTokens(QuotaPiece p, long nowNanos) {
    HeldPiece h = heldPieces.get(p);
    return h != null && canLend(h, nowNanos) ? h.bucket.level(nowNanos) : 0;
  }

  /** Removes up to {@code wanted} tokens of a held piece, to be spent here at once. */
  double drawTokens(QuotaPiece p, double wanted, long nowNanos) {
    HeldPiece h = heldPieces.get(p);
    return h != null && canLend(h, nowNanos) ? h.bucket.drawTokens(wanted, nowNanos) : 0;
  }

  /**
   * Returns the time until a held piece has a whole token, in milliseconds; empty if this daemon
   * can't lend it.
   */
  OptionalLong retryAfterMillis(QuotaPiece p, long nowNanos) {
    HeldPiece h = heldPieces.get(p);
    return h != null && canLend(h, nowNanos)
        ? OptionalLong.of(h.bucket.retryAfterMillis())
        : OptionalLong.empty();
  }

  /**
   * Handles a loan request. If this daemon can't lend the piece, it says so to the borrower.
   * Otherwise it replies with the new loan; a duplicate and a request that only returns tokens get
   * no reply.
   *
   * @param borrower the borrower
   * @param r the request
   * @param holder holder of the piece according to the log, sent to the borrower
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void handleLoanRequest(
      MemberId borrower, LoanRequest r, Optional<MemberId> holder, long nowNanos) {
    HeldPiece h = heldPieces.get(r.piece());
    if (h == null || !canLend(h, nowNanos) || r.termNanos() > settings.loanNanos()) {
      send(borrower, new LoanAnswer(r.piece(), r.sequence(), 0, 0, 0, 0, false, holder));
      return;
    }
    Optional<LendingBucket.LentTokens> lent = h.bucket.lend(borrower, r, nowNanos);
    if (lent.isPresent() && r.wantedTokens() + r.carriedTokens() > 0) {
      LendingBucket.LentTokens loan = lent.get();
      double remaining = h.bucket.level(nowNanos);
      long retryMillis = h.bucket.retryAfterMillis();
      send(
          borrower,
          new LoanAnswer(
              r.piece(),
              r.sequence(),
              loan.carried(),
              loan.granted(),
              remaining,
              retryMillis,
              true,
              holder));
    }
  }

  /**
   * Stops lending a held piece, before it is handed over.
   *
   * @return the tokens left to pass on; 0 if the piece couldn't be lent and wasn't stopped yet
   */
  double stopLending(QuotaPiece p, long nowNanos) {
    HeldPiece h = heldPieces.get(p);
    double remaining = canLend(h, nowNanos) || h.stopped ? h.bucket.level(nowNanos) : 0;
    h.stopped = true;
    return remaining;
  }

  /**
   * Requires a lease from a further witness, until the next accepted claim of the piece decides
   * which witness it has.
   */
  void requireWitness(QuotaPiece p, Optional<MemberId> witness) {
    witness.ifPresent(w -> heldPieces.get(p).requiredWitnesses.add(w));
  }

  /**
   * Returns whether this daemon may lend a piece: it hasn't stopped lending it, earlier holders
   * have, its own claim was accepted and hasn't expired, and it has a lease from every required
   * witness.
   */
  boolean canLend(HeldPiece h, long nowNanos) {
    return !h.stopped
        && h.isReady(nowNanos)
        && h.confirmed
        && nowNanos - h.claimSentNanos < settings.claimExpiryNanos()
        && h.requiredWitnesses.stream().allMatch(w -> leases.isValid(w, nowNanos));
  }

  private void send(MemberId to, LoanAnswer a) {
    effects.emit(new Effect.Send(to, a));
  }

  /**
   * Creates the bucket of a piece that this daemon has obtained. It starts full for the first
   * holder (with the greatest possible burst, which the next resize cuts to the capacity), with the
   * tokens passed on if the piece was handed over, and else empty.
   */
  private LendingBucket newBucket(HolderTable.AcceptedClaim c, long nowNanos) {
    double tokens =
        switch (c.claim().kind()) {
          case FIRST -> c.previous().isEmpty() ? AccountEntry.MAX_RATE : 0;
          case HANDED_OVER -> c.claim().tokens();
          case TAKEN -> 0;
        };
    return new LendingBucket(tokens, nowNanos + takeoverDelayNanos(c));
  }

  /**
   * Returns the time from an accepted claim until every earlier holder and borrower has certainly
   * stopped spending, in nanoseconds.
   */
  private long takeoverDelayNanos(HolderTable.AcceptedClaim c) {
    return switch (c.claim().kind()) {
      case FIRST ->
          c.previous().isEmpty()
              ? 0
              : QuotaSettings.withDriftMargin(settings.leaseNanos() + settings.loanNanos());
      case HANDED_OVER -> QuotaSettings.withDriftMargin(settings.loanNanos());
      case TAKEN -> QuotaSettings.withDriftMargin(settings.leaseNanos() + settings.loanNanos());
    };
  }

  private void resize(QuotaPiece p, HeldPiece h, long nowNanos) {
    Optional<AccountEntry> e = accounts.apply(p.account());
    double share = e.map(p::fractionOf).orElse(0.0);
    double rate = share * e.map(AccountEntry::ratePerSecond).orElse(0.0);
    double burst = share * e.map(AccountEntry::burst).orElse(0.0);
    h.bucket.resize(rate, burst, nowNanos);
  }

  /** A piece that this daemon holds according to the log. */
  static final class HeldPiece {
    private final LendingBucket bucket;
    private final long readyNanos;
    private final Set<MemberId> requiredWitnesses = new HashSet<>();
    private Optional<MemberId> witness = Optional.empty();
    private Optional<MemberId> nextWitness = Optional.empty();
    private boolean confirmed;
    private boolean stopped;
    private long claimSentNanos;

    HeldPiece(LendingBucket bucket, long readyNanos) {
      this.bucket = bucket;
      this.readyNanos = readyNanos;
    }

    /** Returns the witness named by the last accepted claim. */
    Optional<MemberId> witness() {
      return witness;
    }

    /** Returns whether this daemon has stopped lending because it hands the piece over. */
    boolean isStopped() {
      return stopped;
    }

    /** Returns whether all earlier holders and their borrowers have stopped spending. */
    boolean isReady(long nowNanos) {
      return nowNanos >= readyNanos;
    }

    /** Returns the tokens on loan to other daemons. */
    double lentTokens(long nowNanos) {
      return bucket.lentTokens(nowNanos);
    }

    /** Returns whether this daemon sent an accepted claim less than the given time ago. */
    boolean isConfirmedWithin(long ageNanos, long nowNanos) {
      return confirmed && nowNanos - claimSentNanos < ageNanos;
    }

    private void recordOwnClaim(long sentNanos) {
      claimSentNanos = confirmed ? Math.max(claimSentNanos, sentNanos) : sentNanos;
      confirmed = true;
    }
  }
}
