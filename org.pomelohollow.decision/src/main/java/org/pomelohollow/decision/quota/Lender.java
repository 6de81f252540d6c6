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

/** Lends the pieces that this daemon holds, and only while it provably holds them. */
final class Lender {
  private final MemberId self;
  private final QuotaTerms terms;
  private final HolderLease lease;
  private final Function<AccountId, Optional<AccountEntry>> accounts;
  private final EffectSink effects;
  private final Map<Piece, Held> held = new HashMap<>();

  Lender(
      MemberId self,
      QuotaTerms terms,
      HolderLease lease,
      Function<AccountId, Optional<AccountEntry>> accounts,
      EffectSink effects) {
    this.self = self;
    this.terms = terms;
    this.lease = lease;
    this.accounts = accounts;
    this.effects = effects;
  }

  Map<Piece, Held> held() {
    return held;
  }

  /** Returns the witnesses whose acknowledgements this daemon needs. */
  Set<MemberId> witnesses() {
    Set<MemberId> out = new HashSet<>();
    held.values().forEach(h -> out.addAll(h.witnesses));
    return out;
  }

  /**
   * Takes or loses a piece.
   *
   * @param c an accepted claim
   * @param sentNanos when this daemon sent the claim; empty if it did not
   */
  void accepted(Ownership.Change c, OptionalLong sentNanos, long nowNanos) {
    Piece p = c.claim().piece();
    if (!c.after().holder().equals(self)) {
      held.remove(p);
      return;
    }
    Held h = held.get(p);
    if (h == null || !c.wasHeldBy(self)) {
      h = new Held(bucketFor(c, nowNanos), nowNanos + waitFor(c));
      held.put(p, h);
      resize(p, h, nowNanos);
    }
    h.witness = c.after().witness();
    h.witnesses.clear();
    h.witness.ifPresent(h.witnesses::add);
    h.stopped = false;
    sentNanos.ifPresent(h::confirm);
  }

  /** Applies rates and bursts of a new document. */
  void resizeAll(long nowNanos) {
    held.forEach((p, h) -> resize(p, h, nowNanos));
  }

  /** Returns the tokens that this daemon may spend from a piece of its own. */
  double available(Piece p, long nowNanos) {
    Held h = held.get(p);
    return h != null && canLend(h, nowNanos) ? h.bucket.level(nowNanos) : 0;
  }

  double draw(Piece p, double wanted, long nowNanos) {
    Held h = held.get(p);
    return h != null && canLend(h, nowNanos) ? h.bucket.draw(wanted, nowNanos) : 0;
  }

  /** Returns the time until a held piece has a whole token; empty if it can't be lent. */
  OptionalLong retryAfterMillis(Piece p, long nowNanos) {
    Held h = held.get(p);
    return h != null && canLend(h, nowNanos)
        ? OptionalLong.of(h.bucket.retryAfterMillis())
        : OptionalLong.empty();
  }

  void answer(MemberId from, LoanRequest r, Optional<MemberId> holder, long nowNanos) {
    Held h = held.get(r.piece());
    if (h == null || !canLend(h, nowNanos) || r.termNanos() > terms.loan()) {
      send(from, new LoanAnswer(r.piece(), r.sequence(), 0, 0, 0, 0, false, holder));
      return;
    }
    Optional<PieceBucket.Lent> l = h.bucket.lend(from, r, nowNanos);
    if (l.isPresent() && r.wanted() + r.carried() > 0) {
      PieceBucket.Lent n = l.get();
      double left = h.bucket.level(nowNanos);
      long retry = h.bucket.retryAfterMillis();
      send(
          from,
          new LoanAnswer(
              r.piece(), r.sequence(), n.kept(), n.granted(), left, retry, true, holder));
    }
  }

  /** Stops lending a piece and returns the tokens left. */
  double stop(Piece p, long nowNanos) {
    Held h = held.get(p);
    double left = canLend(h, nowNanos) || h.stopped ? h.bucket.level(nowNanos) : 0;
    h.stopped = true;
    return left;
  }

  /** Requires the leases of a further witness until the next accepted claim of the piece. */
  void requireAlso(Piece p, Optional<MemberId> witness) {
    witness.ifPresent(w -> held.get(p).witnesses.add(w));
  }

  boolean canLend(Held h, long nowNanos) {
    return !h.stopped
        && h.isReady(nowNanos)
        && h.confirmed
        && nowNanos - h.claimNanos < terms.fence()
        && h.witnesses.stream().allMatch(w -> lease.isValid(w, nowNanos));
  }

  private void send(MemberId to, LoanAnswer a) {
    effects.emit(new Effect.Send(to, a));
  }

  private PieceBucket bucketFor(Ownership.Change c, long nowNanos) {
    double tokens =
        switch (c.claim().kind()) {
          case FIRST -> c.before().isEmpty() ? AccountEntry.MAX_RATE : 0;
          case HANDED_OVER -> c.claim().tokens();
          case TAKEN -> 0;
        };
    return new PieceBucket(tokens, nowNanos + waitFor(c));
  }

  /** Returns the time until every earlier holder and borrower has stopped spending. */
  private long waitFor(Ownership.Change c) {
    return switch (c.claim().kind()) {
      case FIRST -> c.before().isEmpty() ? 0 : QuotaTerms.padded(terms.lease() + terms.loan());
      case HANDED_OVER -> QuotaTerms.padded(terms.loan());
      case TAKEN -> QuotaTerms.padded(terms.lease() + terms.loan());
    };
  }

  private void resize(Piece p, Held h, long nowNanos) {
    Optional<AccountEntry> e = accounts.apply(p.account());
    double share = e.map(p::share).orElse(0.0);
    double rate = share * e.map(AccountEntry::ratePerSecond).orElse(0.0);
    double burst = share * e.map(AccountEntry::burst).orElse(0.0);
    h.bucket.resize(rate, burst, nowNanos);
  }

  /** A piece that this daemon holds by the log. */
  static final class Held {
    private final PieceBucket bucket;
    private final long readyNanos;
    private final Set<MemberId> witnesses = new HashSet<>();
    private Optional<MemberId> witness = Optional.empty();
    private boolean confirmed;
    private boolean stopped;
    private long claimNanos;

    Held(PieceBucket bucket, long readyNanos) {
      this.bucket = bucket;
      this.readyNanos = readyNanos;
    }

    Optional<MemberId> witness() {
      return witness;
    }

    boolean isStopped() {
      return stopped;
    }

    /** Tells whether all earlier holders and their borrowers have stopped spending. */
    boolean isReady(long nowNanos) {
      return nowNanos >= readyNanos;
    }

    double lent(long nowNanos) {
      return bucket.lent(nowNanos);
    }

    /** Tells whether the latest claim is this daemon's own and younger than the given age. */
    boolean isConfirmedWithin(long ageNanos, long nowNanos) {
      return confirmed && nowNanos - claimNanos < ageNanos;
    }

    private void confirm(long sentNanos) {
      claimNanos = confirmed ? Math.max(claimNanos, sentNanos) : sentNanos;
      confirmed = true;
    }
  }
}
