package org.pomelohollow.decision.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ZoneId;

/**
 * Decides which pieces this daemon claims, keeps or hands over, and appends the claims to the quota
 * stream. After an entry, it appends the next once the entry was read or has failed, or after a
 * timeout.
 */
final class PieceClaimer {
  private static final String LOG_PREFIX = "quota";

  /** Append ids count up from here, apart from the ids of other controllers. */
  private static final long FIRST_APPEND_ID = 1L << 60;

  private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time after which an entry that was neither read nor reported as failed is given up. */
  private static final long APPEND_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Claims are only made if the end of the stream was read within this time. */
  private static final long MAX_READ_AGE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Most claims in one entry; the others follow in later entries. */
  private static final int MAX_CLAIMS_PER_ENTRY = 200;

  /** Stabilization times to wait before a held piece moves to the zone where it belongs. */
  private static final int STABILIZATIONS_BEFORE_MOVE = 10;

  /** Accepted claims that a holder sends per expiry time, so that its claim never expires. */
  private static final int CLAIMS_PER_EXPIRY = 4;

  private final MemberId self;
  private final QuotaSettings settings;
  private final HolderTable holders;
  private final Lender lender;
  private final WitnessLeases leases;
  private final EffectSink effects;
  private final Map<Long, Long> sentNanosBySequence = new HashMap<>();
  private List<PieceClaim> claimsInFlight = List.of();
  private long sequence;
  private long inFlightSinceNanos;
  private long nextCheckNanos = Long.MIN_VALUE;
  private long observingSinceNanos;
  private boolean observing;
  private boolean stopping;

  PieceClaimer(
      MemberId self,
      QuotaSettings settings,
      HolderTable holders,
      Lender lender,
      WitnessLeases leases,
      EffectSink effects) {
    this.self = self;
    this.settings = settings;
    this.holders = holders;
    this.lender = lender;
    this.leases = leases;
    this.effects = effects;
  }

  /**
   * Counts the silence of others and the stability of the roster from now on. Called after a start,
   * a pause of this daemon, or a change of the zones.
   */
  void restartObservation(long nowNanos) {
    observingSinceNanos = nowNanos;
    observing = true;
  }

  /** Hands all held pieces over and claims no others, from the next tick on. */
  void startHandover() {
    stopping = true;
    nextCheckNanos = Long.MIN_VALUE;
  }

  /**
   * Returns when this daemon sent an entry, as monotonic time in nanoseconds; empty if another
   * member sent it or if its claims have expired.
   */
  OptionalLong sentNanos(PiecesClaimed entry) {
    Long sentNanos = entry.writer().equals(self) ? sentNanosBySequence.get(entry.sequence()) : null;
    return sentNanos == null ? OptionalLong.empty() : OptionalLong.of(sentNanos);
  }

  /** Ends the wait for this daemon's last entry once it was read, with claims accepted or not. */
  void handleEntryRead(LogEntry entry) {
    if (entry instanceof PiecesClaimed c && c.writer().equals(self) && c.sequence() == sequence) {
      claimsInFlight = List.of();
    }
  }

  /**
   * Ends the wait for this daemon's last entry if it certainly wasn't written. After an unknown
   * outcome, the wait goes on until the entry is read or the timeout.
   */
  void handleAppendEnded(Event.AppendCompleted a) {
    if (a.appendId() == FIRST_APPEND_ID + sequence && a.outcome() == Event.AppendOutcome.FAILED) {
      claimsInFlight = List.of();
    }
  }

  /**
   * Makes the claims that are due, at intervals, unless an entry is in flight or the stream wasn't
   * read to its end lately.
   *
   * @param accounts client accounts of the active configuration
   * @param placement preferred holders and witnesses by the current roster
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void tick(Set<AccountId> accounts, Placement placement, long nowNanos) {
    if (nowNanos < nextCheckNanos || !observing) {
      return;
    }
    nextCheckNanos = nowNanos + CHECK_INTERVAL_NANOS;
    boolean waiting =
        !claimsInFlight.isEmpty() && nowNanos - inFlightSinceNanos < APPEND_TIMEOUT_NANOS;
    if (waiting || !holders.isFresh(nowNanos, MAX_READ_AGE_NANOS)) {
      return;
    }
    List<PieceClaim> out = new ArrayList<>();
    lender
        .heldPieces()
        .forEach((p, h) -> claimForHeld(p, h, placement, nowNanos).ifPresent(out::add));
    if (!stopping) {
      holders
          .holdings()
          .forEach((p, h) -> claimForTakeover(p, h, placement, nowNanos).ifPresent(out::add));
      accounts.forEach(a -> addFirstClaims(a, placement, out, nowNanos));
    }
    appendClaims(out, nowNanos);
  }

  /**
   * Returns the claim due for a held piece, if any: one that hands it over, replaces a silent or
   * missing witness, repeats a claim long before it expires, or takes a piece back whose handover
   * wasn't accepted. A piece that isn't ready yet is passed on as {@code TAKEN}, so that the new
   * holder waits for earlier holders as well.
   */
  private Optional<PieceClaim> claimForHeld(
      QuotaPiece p, Lender.HeldPiece h, Placement placement, long nowNanos) {
    Optional<MemberId> successor = successor(p, h, placement, nowNanos);
    if (successor.isPresent()) {
      Optional<MemberId> witness = placement.chooseWitness(successor.get(), self::equals);
      PieceClaim.Kind kind =
          h.isReady(nowNanos) ? PieceClaim.Kind.HANDED_OVER : PieceClaim.Kind.TAKEN;
      return Optional.of(new PieceClaim(p, successor.get(), witness, kind, 0));
    }
    boolean witnessSilent =
        h.witness().filter(witness -> leases.isWitnessSilent(witness, nowNanos)).isPresent();
    Optional<MemberId> witness = h.witness();
    if (witnessSilent || witness.isEmpty()) {
      witness = placement.chooseWitness(self, id -> h.witness().filter(id::equals).isPresent());
      if (mustPrepare(h, witness, nowNanos)) {
        lender.prepareWitness(p, witness);
        witness = h.witness();
      }
    }
    boolean repeatDue =
        !h.isConfirmedWithin(settings.claimExpiryNanos() / CLAIMS_PER_EXPIRY, nowNanos);
    return repeatDue || h.isStopped() || !witness.equals(h.witness())
        ? Optional.of(newClaim(p, witness))
        : Optional.empty();
  }

  /**
   * Returns whether the lease of a new witness is to be obtained before it is claimed, since the
   * piece can be lent until then.
   */
  private boolean mustPrepare(Lender.HeldPiece h, Optional<MemberId> next, long nowNanos) {
    boolean hasLease = next.filter(w -> !leases.isValid(w, nowNanos)).isEmpty();
    return !hasLease && lender.canLend(h, nowNanos);
  }

  /**
   * Returns the member to hand a piece over to, if this daemon is stopping or the piece belongs to
   * another zone.
   */
  private Optional<MemberId> successor(
      QuotaPiece p, Lender.HeldPiece h, Placement placement, long nowNanos) {
    if (stopping) {
      return placement.preferredHolder(p).filter(id -> !id.equals(self)).or(h::witness);
    }
    if (nowNanos - observingSinceNanos
        < STABILIZATIONS_BEFORE_MOVE * settings.stabilizationNanos()) {
      return Optional.empty();
    }
    Optional<ZoneId> zone = placement.preferredZone(p);
    return zone.equals(placement.zoneOf(self)) ? Optional.empty() : placement.preferredHolder(p);
  }

  /** Returns a claim that takes over a piece of another member, if that is allowed. */
  private Optional<PieceClaim> claimForTakeover(
      QuotaPiece p, HolderTable.Holding h, Placement placement, long nowNanos) {
    if (h.holder().equals(self) || !mayTakeOver(p, h, placement, nowNanos)) {
      return Optional.empty();
    }
    return Optional.of(newClaim(p, placement.chooseWitness(self, h.holder()::equals)));
  }

  /**
   * Returns whether this daemon may claim a piece of another member: the holder can't lend any
   * more, or won't be able to once a lease has passed after the claim is sent. This daemon must be
   * a later incarnation on the holder's or the witness's host, be the witness, or be the preferred
   * holder of a piece whose last claim has expired.
   */
  private boolean mayTakeOver(
      QuotaPiece p, HolderTable.Holding h, Placement placement, long nowNanos) {
    if (self.replaces(h.holder())) {
      return true;
    }
    long sinceNanos = Math.max(h.readNanos(), observingSinceNanos);
    boolean suspicionElapsed = nowNanos - sinceNanos >= settings.suspicionTimeoutNanos();
    if (h.witness().filter(self::replaces).isPresent()) {
      return suspicionElapsed && !placement.contains(h.holder());
    }
    if (h.witness().filter(self::equals).isPresent()) {
      return leases.isHolderSilent(h.holder(), sinceNanos, nowNanos);
    }
    return nowNanos - h.readNanos() >= QuotaSettings.withDriftMargin(settings.claimExpiryNanos())
        && placement.preferredHolder(p).filter(self::equals).isPresent();
  }

  /**
   * Claims the pieces of an account that were never claimed and whose preferred holder is this
   * daemon. Only if the stream was read completely is it certain that there was no earlier holder.
   */
  private void addFirstClaims(
      AccountId a, Placement placement, List<PieceClaim> out, long nowNanos) {
    if (nowNanos - observingSinceNanos < settings.stabilizationNanos()) {
      return;
    }
    for (QuotaPiece p : QuotaPiece.allOf(a)) {
      if (holders.find(p).isEmpty()
          && placement.preferredHolder(p).filter(self::equals).isPresent()) {
        PieceClaim.Kind kind = holders.isComplete() ? PieceClaim.Kind.FIRST : PieceClaim.Kind.TAKEN;
        out.add(new PieceClaim(p, self, placement.chooseWitness(self, id -> false), kind, 0));
      }
    }
  }

  /** Returns a claim of this daemon to keep or take over a piece. */
  private PieceClaim newClaim(QuotaPiece p, Optional<MemberId> witness) {
    return new PieceClaim(p, self, witness, PieceClaim.Kind.TAKEN, 0);
  }

  /** Appends one entry with as many of the claims as fit. */
  private void appendClaims(List<PieceClaim> claims, long nowNanos) {
    if (claims.isEmpty()) {
      return;
    }
    claimsInFlight =
        claims.stream()
            .limit(MAX_CLAIMS_PER_ENTRY)
            .map(c -> giveUpContradicting(c, nowNanos))
            .toList();
    inFlightSinceNanos = nowNanos;
    sequence++;
    sentNanosBySequence.values().removeIf(t -> nowNanos - t >= settings.claimExpiryNanos());
    sentNanosBySequence.put(sequence, nowNanos);
    PiecesClaimed e = new PiecesClaimed(self, sequence, holders.lastReadOffset(), claimsInFlight);
    effects.emit(new Effect.Append(FIRST_APPEND_ID + sequence, LogStream.QUOTA, e));
    effects.emit(
        new Effect.LogLine(
            LOG_PREFIX,
            false,
            "appending entry " + sequence + " that claims " + claimsInFlight.size() + " pieces"));
  }

  /**
   * Gives up every right that contradicts a claim, before the claim is sent: stops lending what is
   * handed over, requires the lease of a new witness too, or denies renewals to the present holder.
   * Once sent, the claim may be in the log and read by others before this daemon reads it.
   */
  private PieceClaim giveUpContradicting(PieceClaim c, long nowNanos) {
    if (!c.holder().equals(self)) {
      double tokens = lender.stopLending(c.piece(), nowNanos);
      return new PieceClaim(c.piece(), c.holder(), c.witness(), c.kind(), tokens);
    }
    Optional<MemberId> holder = holders.find(c.piece()).map(HolderTable.Holding::holder);
    if (holder.filter(self::equals).isPresent()) {
      lender.requireWitness(c.piece(), c.witness());
    } else {
      holder.ifPresent(leases::denyRenewals);
    }
    return c;
  }
}
