package org.pomelohollow.decision.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;

/**
 * Grants root requests within the rate and burst of their client accounts, over all daemons.
 *
 * <p>An account is cut into {@link Piece}s. A piece has at most one lender at a time:
 *
 * <ol>
 *   <li>The quota stream orders claims. A claim is accepted unless another accepted one of the
 *       piece lies between the offset that its writer had read and the claim itself, so every
 *       reader sees one chain of holders, each with a witness.
 *   <li>A holder lends only while its witness has acknowledged a renewal that it sent within the
 *       lease. A witness acknowledges no more once it has <em>sent</em> a claim of the holder's
 *       piece; a holder that has sent a change of witness needs both.
 *   <li>So when a member reads that it took a piece, nobody's lease is renewed any more: after a
 *       lease and a loan, lengthened for drift, all earlier lenders and borrowers have stopped.
 *       Only then does its empty bucket begin to fill.
 *   <li>A holder that hands over has stopped before it wrote; only its loans are waited for.
 *   <li>A holder and witness may both be gone. Then a later incarnation on either host takes over
 *       (a host runs one daemon at a time), or anyone after the fence, which the holder counts from
 *       when it sent its last claim and others from when they read it.
 *   <li>In one piece, level and unexpired loans never exceed the capacity together and grow at the
 *       rate only. A borrower counts its loan from when it asked, the lender from the receipt, so a
 *       window of length t sees at most capacity + rate * t tokens spent.
 * </ol>
 *
 * <p>Nothing rests on the roster, and lost messages lose tokens. Only the first holder of a piece,
 * proved by a stream read whole from offset 0, starts with a full bucket.
 */
public final class QuotaController implements AccountRates {
  private static final String PART = "quota";

  private final MemberId self;
  private final QuotaTerms terms;
  private final EffectSink effects;
  private final HolderLease lease;
  private final Lender lender;
  private final Ownership ownership;
  private final Claims claims;
  private final Map<AccountId, AccountBorrower> borrowers = new HashMap<>();
  private Map<AccountId, AccountEntry> accounts = Map.of();
  private Placement placement;
  private long lastTickNanos;
  private boolean ticked;
  private long loanSequence;

  /**
   * Creates a controller that holds nothing.
   *
   * @param self this daemon
   * @param terms durations of leases and loans, the same at all daemons
   * @param effects takes what the controller asks for
   */
  public QuotaController(MemberId self, QuotaTerms terms, EffectSink effects) {
    this.self = self;
    this.terms = terms;
    this.effects = effects;
    this.lease = new HolderLease(terms, effects);
    this.lender =
        new Lender(self, terms, lease, a -> Optional.ofNullable(accounts.get(a)), effects);
    this.ownership = new Ownership(effects, this::accepted);
    this.claims = new Claims(self, terms, ownership, lender, lease, effects);
    this.placement = new Placement(Roster.of(self, List.of()));
  }

  @Override
  public void acquire(AccountId account, long nowNanos, Consumer<QuotaAnswer> answer) {
    if (!accounts.containsKey(account)) {
      answer.accept(new QuotaAnswer.Unavailable());
      return;
    }
    borrowers.computeIfAbsent(account, this::borrower).acquire(nowNanos, answer);
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.Tick) {
      tick(nowNanos);
    } else if (event instanceof Event.MessageReceived m) {
      receive(m.from(), m.message(), nowNanos);
    } else if (event instanceof Event.LogRead r && r.stream() == LogStream.QUOTA) {
      ownership.read(r, nowNanos);
      r.entries().forEach(e -> e.entry().ifPresent(claims::read));
    } else if (event instanceof Event.AppendCompleted a) {
      claims.appendEnded(a);
    } else if (event instanceof Event.ConfigActivated c) {
      configure(c.configuration().document().accounts(), nowNanos);
    } else if (event instanceof Event.RosterChanged r) {
      arrange(new Placement(r.roster()), nowNanos);
    } else if (event instanceof Event.LinkLost l) {
      borrowers.values().forEach(b -> b.linkLost(l.peer(), nowNanos));
    } else if (event instanceof Event.ShutdownRequested) {
      borrowers.values().forEach(b -> b.close(nowNanos));
      claims.stop();
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b = StateDump.of(PART).line("next offset", ownership.base() + 1);
    lender
        .held()
        .forEach(
            (p, h) ->
                b.line(
                    "held " + p,
                    "lends "
                        + lender.canLend(h, nowNanos)
                        + ", level "
                        + lender.available(p, nowNanos)
                        + ", lent "
                        + h.lent(nowNanos)
                        + ", witness "
                        + h.witness().map(MemberId::toString).orElse("none")));
    borrowers.forEach(
        (id, k) ->
            b.line(
                "borrowed " + id,
                k.borrowed(nowNanos) + ", demand " + k.demandPerSecond() + " per second"));
    return b.build();
  }

  /** Returns this daemon's part in a piece, for checks that at most one member lends it. */
  PieceState state(Piece p, long nowNanos) {
    Lender.Held h = lender.held().get(p);
    AccountBorrower b = borrowers.get(p.account());
    return new PieceState(
        h != null && lender.canLend(h, nowNanos),
        h == null ? 0 : h.lent(nowNanos),
        b == null ? 0 : b.borrowed(p, nowNanos));
  }

  private void tick(long nowNanos) {
    if (!ticked || nowNanos - lastTickNanos > terms.suspicion() / 2) {
      claims.watchAnew(nowNanos);
      lease.resumeAfterPause(nowNanos);
    }
    ticked = true;
    lastTickNanos = nowNanos;
    lease.renew(lender.witnesses(), nowNanos);
    claims.tick(accounts.keySet(), placement, nowNanos);
    borrowers.values().forEach(b -> b.tick(nowNanos));
  }

  private void receive(MemberId from, PeerMessage message, long nowNanos) {
    if (message instanceof LoanRequest r) {
      Optional<MemberId> holder = ownership.find(r.piece()).map(Ownership.Holding::holder);
      lender.answer(from, r, holder, nowNanos);
    } else if (message instanceof LoanAnswer a) {
      AccountBorrower b = borrowers.get(a.piece().account());
      if (b != null) {
        b.answered(a, nowNanos);
      }
    } else if (message instanceof LeaseRenewal r) {
      lease.renewed(from, r, nowNanos);
    } else if (message instanceof LeaseAcknowledgement a) {
      lease.acknowledged(from, a, nowNanos);
    }
  }

  private void accepted(Ownership.Change c, long nowNanos) {
    lender.accepted(c, claims.sentNanos(c.entry()), nowNanos);
  }

  private void configure(Map<AccountId, AccountEntry> next, long nowNanos) {
    accounts = next;
    lender.resizeAll(nowNanos);
    borrowers
        .entrySet()
        .removeIf(
            e -> {
              boolean gone = !next.containsKey(e.getKey());
              if (gone) {
                e.getValue().close(nowNanos);
              }
              return gone;
            });
  }

  private void arrange(Placement next, long nowNanos) {
    if (!next.zones().equals(placement.zones())) {
      claims.watchAnew(nowNanos);
    }
    placement = next;
  }

  private AccountBorrower borrower(AccountId account) {
    return new AccountBorrower(
        account,
        terms,
        lender,
        this::holder,
        () -> ++loanSequence,
        () -> accounts.get(account).burst(),
        effects);
  }

  /** Returns the holder of a piece by the log, or where it would be placed. */
  private Optional<MemberId> holder(Piece p) {
    return ownership
        .find(p)
        .map(Ownership.Holding::holder)
        .or(() -> placement.holder(p))
        .filter(id -> !id.equals(self));
  }

  /**
   * A daemon's part in a piece.
   *
   * @param lends whether it lends the piece
   * @param lent tokens that it counts as lent to others
   * @param borrowed tokens of the piece that it may spend as a borrower
   */
  record PieceState(boolean lends, double lent, double borrowed) {}
}
