package org.pomelohollow.decision.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.MemberId;

/**
 * Current holder and witness of every piece, computed by applying the claims of the quota stream in
 * order.
 */
final class HolderTable {
  private final EffectSink effects;
  private final Listener listener;
  private final Map<QuotaPiece, Holding> holdings = new HashMap<>();
  private long nextOffset;
  private boolean complete = true;
  private boolean endReached;
  private long lastReadNanos;

  /**
   * Creates a table before the first entry of the stream is read.
   *
   * @param effects receives requests to read the stream from an offset
   * @param listener called for every accepted claim, in the order of the log
   */
  HolderTable(EffectSink effects, Listener listener) {
    this.effects = effects;
    this.listener = listener;
  }

  /** Returns the holding of a piece; empty if no claim of it was read. */
  Optional<Holding> find(QuotaPiece p) {
    return Optional.ofNullable(holdings.get(p));
  }

  /** Returns the holdings of all pieces that were ever claimed. */
  Map<QuotaPiece, Holding> holdings() {
    return holdings;
  }

  /** Returns the last offset read, -1 if none. */
  long lastReadOffset() {
    return nextOffset - 1;
  }

  /** Returns whether every entry of the stream was read, from offset 0 on. */
  boolean isComplete() {
    return complete;
  }

  /** Returns whether the last read was within the given time and reached the stream's end. */
  boolean isFresh(long nowNanos, long withinNanos) {
    return endReached && nowNanos - lastReadNanos < withinNanos;
  }

  /**
   * Applies the entries of a read. After a gap, none is applied, and the stream is read again from
   * the first missing offset. Entries that the platform no longer retains are skipped.
   */
  void handleLogRead(Event.LogRead r, long nowNanos) {
    if (r.fromOffset() > Math.max(nextOffset, r.oldestOffset())) {
      effects.emit(new Effect.SeekStream(LogStream.QUOTA, nextOffset));
      return;
    }
    nextOffset = Math.max(nextOffset, r.oldestOffset());
    complete &= r.oldestOffset() == 0;
    r.entries().forEach(e -> applyEntry(e, nowNanos));
    endReached = nextOffset >= r.endOffset();
    lastReadNanos = nowNanos;
  }

  private void applyEntry(StoredEntry stored, long nowNanos) {
    if (stored.offset() < nextOffset) {
      return;
    }
    nextOffset = stored.offset() + 1;
    if (stored.entry().orElse(null) instanceof PiecesClaimed c) {
      c.claims().forEach(p -> applyClaim(stored.offset(), c, p, nowNanos));
    }
  }

  /** Accepts a claim, unless one was accepted since the offset that its writer had read. */
  private void applyClaim(long offset, PiecesClaimed entry, PieceClaim claim, long nowNanos) {
    Holding previous = holdings.get(claim.piece());
    if (previous != null && previous.offset() > entry.baseOffset()) {
      return;
    }
    Holding h = new Holding(offset, claim.holder(), claim.witness(), nowNanos);
    holdings.put(claim.piece(), h);
    listener.claimAccepted(
        new AcceptedClaim(Optional.ofNullable(previous), h, entry, claim), nowNanos);
  }

  /** Receives accepted claims. */
  @FunctionalInterface
  interface Listener {
    void claimAccepted(AcceptedClaim claim, long nowNanos);
  }

  /**
   * Holder of a piece by its last accepted claim.
   *
   * @param offset offset of the claim's entry in the quota stream
   * @param holder member that may lend the piece
   * @param witness member that must acknowledge the holder's renewals; empty if none is needed
   * @param readNanos monotonic time when this daemon read the claim, in nanoseconds
   */
  record Holding(long offset, MemberId holder, Optional<MemberId> witness, long readNanos) {}

  /**
   * An accepted claim with the holdings before and after it.
   *
   * @param previous holding that the claim replaces; empty if it is the first
   * @param current holding by the claim
   * @param entry log entry with the claim
   * @param claim the claim
   */
  record AcceptedClaim(
      Optional<Holding> previous, Holding current, PiecesClaimed entry, PieceClaim claim) {
    /** Returns whether a member held the piece before this claim. */
    boolean wasHeldBy(MemberId m) {
      return previous.filter(h -> h.holder().equals(m)).isPresent();
    }
  }
}
