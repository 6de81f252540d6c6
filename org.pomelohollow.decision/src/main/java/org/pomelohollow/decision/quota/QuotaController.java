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
 * Rate limiter that grants root requests within the rate and burst of their client accounts, summed
 * over all daemons.
 *
 * <p>The token bucket of an account is split into pieces ({@link QuotaPiece}). A daemon that holds
 * a piece lends its tokens to the other daemons. A piece has at most one lender at a time, for
 * these reasons:
 *
 * <ol>
 *   <li>The quota stream of the log orders the claims of pieces. A claim is accepted unless another
 *       accepted claim of the same piece lies between the offset that its writer had read and the
 *       claim itself. Every reader therefore sees the same sequence of holders, each with its
 *       witness.
 *   <li>A holder lends only while it has a lease: its witness has acknowledged a renewal that the
 *       holder sent less than a lease ago. A witness stops acknowledging a holder's renewals before
 *       it <em>sends</em> a claim of the holder's piece. A holder that has sent a claim with
 *       another witness needs the acknowledgements of both witnesses.
 *   <li>When a member reads its own accepted claim of another's piece, no earlier lease is renewed
 *       any more. It waits for the duration of a lease plus a loan, lengthened for clock drift,
 *       until all earlier lenders and borrowers have stopped. Only then does its bucket begin to
 *       fill, from empty.
 *   <li>A holder that hands a piece over stops lending before it writes the claim, so the new
 *       holder waits for outstanding loans only.
 *   <li>If a holder and its witness are both gone, a later incarnation on the host of either takes
 *       the piece over, since a host runs one daemon at a time. Any other member may do so once the
 *       holder's last claim has expired. The holder counts this time from when it sent the claim,
 *       others from when they read it.
 *   <li>In one piece, the level plus unexpired loans never exceeds the capacity and grows at the
 *       rate only. The borrower counts the term of a loan from when it sent its request, the lender
 *       from when it received the request, so the lender counts a loan for at least as long as it
 *       can be spent. Therefore at most capacity + rate * t tokens are spent in any window of
 *       length t.
 * </ol>
 *
 * <p>The bound doesn't depend on the roster, and a lost message can only lose tokens. A bucket
 * starts full only for the first holder of a piece, which must have read the stream completely from
 * offset 0 to prove that there was none before.
 */
public final class QuotaController implements AccountRateLimiter {
  private static final String DUMP_PART = "quota";

  private final MemberId self;
  private final QuotaSettings settings;
  private final EffectSink effects;
  private final WitnessLeases leases;
  private final Lender lender;
  private final HolderTable holders;
  private final PieceClaimer claimer;
  private final Map<AccountId, AccountBorrower> borrowers = new HashMap<>();
  private Map<AccountId, AccountEntry> accounts = Map.of();
  private Placement placement;
  private long lastTickNanos;
  private boolean hasTicked;
  private long loanSequence;

  /**
   * Creates a controller that holds no piece.
   *
   * @param self this daemon
   * @param settings timeouts and durations of the quota protocol, the same at all daemons
   * @param effects receives the messages, log appends and log lines of the controller
   */
  public QuotaController(MemberId self, QuotaSettings settings, EffectSink effects) {
    this.self = self;
    this.settings = settings;
    this.effects = effects;
    this.leases = new WitnessLeases(settings, effects);
    this.lender =
        new Lender(self, settings, leases, a -> Optional.ofNullable(accounts.get(a)), effects);
    this.holders = new HolderTable(effects, this::handleAcceptedClaim);
    this.claimer = new PieceClaimer(self, settings, holders, lender, leases, effects);
    this.placement = new Placement(Roster.of(self, List.of()));
  }

  @Override
  public void acquire(AccountId account, long nowNanos, Consumer<QuotaResult> callback) {
    if (!accounts.containsKey(account)) {
      callback.accept(new QuotaResult.Unavailable());
      return;
    }
    borrowers.computeIfAbsent(account, this::newBorrower).acquire(nowNanos, callback);
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.Tick) {
      tick(nowNanos);
    } else if (event instanceof Event.MessageReceived m) {
      receive(m.from(), m.message(), nowNanos);
    } else if (event instanceof Event.LogRead r && r.stream() == LogStream.QUOTA) {
      holders.handleLogRead(r, nowNanos);
      r.entries().forEach(e -> e.entry().ifPresent(claimer::handleEntryRead));
    } else if (event instanceof Event.AppendCompleted a) {
      claimer.handleAppendEnded(a);
    } else if (event instanceof Event.ConfigActivated c) {
      configure(c.configuration().document().accounts(), nowNanos);
    } else if (event instanceof Event.RosterChanged r) {
      updatePlacement(new Placement(r.roster()), nowNanos);
    } else if (event instanceof Event.LinkLost l) {
      borrowers.values().forEach(b -> b.handleLinkLost(l.peer(), nowNanos));
    } else if (event instanceof Event.ShutdownRequested) {
      borrowers.values().forEach(b -> b.close(nowNanos));
      claimer.startHandover();
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b = StateDump.of(DUMP_PART).line("next offset", holders.lastReadOffset() + 1);
    lender
        .heldPieces()
        .forEach(
            (p, h) ->
                b.line(
                    "held " + p,
                    "lends "
                        + lender.canLend(h, nowNanos)
                        + ", level "
                        + lender.availableTokens(p, nowNanos)
                        + ", lent "
                        + h.lentTokens(nowNanos)
                        + ", witness "
                        + h.witness().map(MemberId::toString).orElse("none")));
    borrowers.forEach(
        (id, k) ->
            b.line(
                "borrowed " + id,
                k.borrowedTokens(nowNanos) + ", demand " + k.demandPerSecond() + " per second"));
    return b.build();
  }

  /** Returns this daemon's state of a piece, for tests that at most one member lends it. */
  PieceState pieceState(QuotaPiece p, long nowNanos) {
    Lender.HeldPiece h = lender.heldPieces().get(p);
    AccountBorrower b = borrowers.get(p.account());
    return new PieceState(
        h != null && lender.canLend(h, nowNanos),
        h == null ? 0 : h.lentTokens(nowNanos),
        b == null ? 0 : b.borrowedTokens(p, nowNanos));
  }

  private void tick(long nowNanos) {
    // A late tick means that this daemon was paused and couldn't hear its peers in the meantime.
    if (!hasTicked || nowNanos - lastTickNanos > settings.suspicionTimeoutNanos() / 2) {
      claimer.restartObservation(nowNanos);
      leases.restartSilence(nowNanos);
    }
    hasTicked = true;
    lastTickNanos = nowNanos;
    leases.sendRenewals(lender.witnesses(), nowNanos);
    claimer.tick(accounts.keySet(), placement, nowNanos);
    borrowers.values().forEach(b -> b.tick(nowNanos));
  }

  private void receive(MemberId from, PeerMessage message, long nowNanos) {
    if (message instanceof LoanRequest r) {
      Optional<MemberId> holder = holders.find(r.piece()).map(HolderTable.Holding::holder);
      lender.handleLoanRequest(from, r, holder, nowNanos);
    } else if (message instanceof LoanAnswer a) {
      AccountBorrower b = borrowers.get(a.piece().account());
      if (b != null) {
        b.handleReply(a, nowNanos);
      }
    } else if (message instanceof LeaseRenewal r) {
      leases.handleRenewal(from, r, nowNanos);
    } else if (message instanceof LeaseAcknowledgement a) {
      leases.handleAcknowledgement(from, a, nowNanos);
    }
  }

  private void handleAcceptedClaim(HolderTable.AcceptedClaim c, long nowNanos) {
    lender.handleAcceptedClaim(c, claimer.sentNanos(c.entry()), nowNanos);
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

  private void updatePlacement(Placement next, long nowNanos) {
    if (!next.zones().equals(placement.zones())) {
      claimer.restartObservation(nowNanos);
    }
    placement = next;
  }

  private AccountBorrower newBorrower(AccountId account) {
    return new AccountBorrower(
        account,
        settings,
        lender,
        this::remoteHolder,
        () -> ++loanSequence,
        () -> accounts.get(account).burst(),
        effects);
  }

  /**
   * Returns the other member to ask for a loan: the holder of a piece according to the log or,
   * without an accepted claim, the preferred holder. Empty if that is this daemon or unknown.
   */
  private Optional<MemberId> remoteHolder(QuotaPiece p) {
    return holders
        .find(p)
        .map(HolderTable.Holding::holder)
        .or(() -> placement.preferredHolder(p))
        .filter(id -> !id.equals(self));
  }

  /**
   * State of one piece at one daemon.
   *
   * @param canLend whether the daemon may lend the piece
   * @param lentTokens tokens that it counts as lent to others
   * @param borrowedTokens tokens of the piece that it may spend as a borrower
   */
  record PieceState(boolean canLend, double lentTokens, double borrowedTokens) {}
}
