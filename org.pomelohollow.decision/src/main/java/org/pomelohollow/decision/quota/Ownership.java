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

/** Folds the quota stream into the present holder and witness of every piece. */
final class Ownership {
  private final EffectSink effects;
  private final Listener listener;
  private final Map<Piece, Holding> holdings = new HashMap<>();
  private long nextOffset;
  private boolean complete = true;
  private boolean caughtUp;
  private long lastReadNanos;

  /**
   * Creates a fold that has read nothing.
   *
   * @param effects takes requests to read
   * @param listener told of every accepted claim in the order of the log
   */
  Ownership(EffectSink effects, Listener listener) {
    this.effects = effects;
    this.listener = listener;
  }

  Optional<Holding> find(Piece p) {
    return Optional.ofNullable(holdings.get(p));
  }

  Map<Piece, Holding> all() {
    return holdings;
  }

  /** Returns the last offset read, -1 if none. */
  long base() {
    return nextOffset - 1;
  }

  /** Tells whether no entry of the stream was missed since its first one. */
  boolean isComplete() {
    return complete;
  }

  /** Tells whether the end of the stream was reached by a read in the given time. */
  boolean isFresh(long nowNanos, long withinNanos) {
    return caughtUp && nowNanos - lastReadNanos < withinNanos;
  }

  void read(Event.LogRead r, long nowNanos) {
    if (r.fromOffset() > Math.max(nextOffset, r.oldestOffset())) {
      effects.emit(new Effect.SeekStream(LogStream.QUOTA, nextOffset));
      return;
    }
    nextOffset = Math.max(nextOffset, r.oldestOffset());
    complete &= r.oldestOffset() == 0;
    r.entries().forEach(e -> fold(e, nowNanos));
    caughtUp = nextOffset >= r.endOffset();
    lastReadNanos = nowNanos;
  }

  private void fold(StoredEntry stored, long nowNanos) {
    if (stored.offset() < nextOffset) {
      return;
    }
    nextOffset = stored.offset() + 1;
    if (stored.entry().orElse(null) instanceof PiecesClaimed c) {
      c.claims().forEach(p -> apply(stored.offset(), c, p, nowNanos));
    }
  }

  private void apply(long offset, PiecesClaimed entry, PieceClaim claim, long nowNanos) {
    Holding old = holdings.get(claim.piece());
    if (old != null && old.offset() > entry.base()) {
      return;
    }
    Holding h = new Holding(offset, claim.holder(), claim.witness(), nowNanos);
    holdings.put(claim.piece(), h);
    listener.accepted(new Change(Optional.ofNullable(old), h, entry, claim), nowNanos);
  }

  /** Told of accepted claims. */
  @FunctionalInterface
  interface Listener {
    void accepted(Change change, long nowNanos);
  }

  /**
   * Who may lend a piece.
   *
   * @param offset offset of the accepted claim
   * @param holder the holder
   * @param witness member whose acknowledgements the holder needs, if any
   * @param readNanos when this daemon read the claim
   */
  record Holding(long offset, MemberId holder, Optional<MemberId> witness, long readNanos) {}

  /**
   * An accepted claim.
   *
   * @param before holding until now
   * @param after holding from now on
   * @param entry the entry
   * @param claim the claim in it
   */
  record Change(Optional<Holding> before, Holding after, PiecesClaimed entry, PieceClaim claim) {
    boolean wasHeldBy(MemberId m) {
      return before.filter(h -> h.holder().equals(m)).isPresent();
    }
  }
}
