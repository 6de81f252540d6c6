package org.pomelohollow.decision.claim;

import java.util.TreeMap;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.StoredEntry;

/**
 * Replays the stream of ring proposals as a fold over its entries. After a gap in the log it cannot
 * decide which of two proposals on one base came first. It then defers all proposals until a
 * checkpoint or a peer provides the ring at an offset from which it has read every entry.
 */
final class RingFold {
  private static final int MAX_DEFERRED_PROPOSALS = 64;

  private final TreeMap<Long, RingProposal> deferred = new TreeMap<>();
  private RingState ring = RingState.EMPTY;

  /** First offset since the last gap from which on no proposal has been missed or dropped. */
  private long contiguousFromOffset;

  private long nextOffset;
  private long endOffset = Long.MAX_VALUE;

  /** Whether {@link #ring} is the state at {@link #nextOffset}; false after a gap. */
  private boolean complete = true;

  RingState ring() {
    return ring;
  }

  /** Returns the first offset that is not applied to the ring, -1 after a gap. */
  long completeUpTo() {
    return complete ? nextOffset : -1;
  }

  /** Returns the offset after the last entry of the stream, as of the last read. */
  long endOffset() {
    return endOffset;
  }

  /** Returns whether the stream has been read to its end, as of the last read. */
  boolean isCaughtUp() {
    return nextOffset >= endOffset;
  }

  /** Returns whether the ring at the next offset is known; false after a gap. */
  boolean isComplete() {
    return complete;
  }

  /** Applies the entries of a read; detects a gap if entries expired before they were read. */
  void applyRead(Event.LogRead r) {
    long start = Math.max(r.fromOffset(), r.oldestOffset());
    if (start > nextOffset) {
      complete = false;
      deferred.clear();
      contiguousFromOffset = start;
      nextOffset = start;
    }
    r.entries().forEach(this::fold);
    endOffset = r.endOffset();
  }

  /**
   * Adopts a ring from a checkpoint or a peer if it is newer. Ends a gap by applying the deferred
   * proposals to it if no entry from its offset on has been missed.
   *
   * @param received the ring
   * @param through first offset that is not applied to the ring, -1 if unknown
   */
  void restore(RingState received, long through) {
    adoptIfNewer(received);
    if (complete || through < contiguousFromOffset) {
      return;
    }
    complete = true;
    RingState r = received;
    for (RingProposal p : deferred.tailMap(through).values()) {
      r = apply(r, p);
    }
    deferred.clear();
    adoptIfNewer(r);
  }

  private void fold(StoredEntry e) {
    if (e.offset() < nextOffset) {
      return;
    }
    nextOffset = e.offset() + 1;
    if (e.entry().orElse(null) instanceof RingProposal p) {
      if (complete) {
        adoptIfNewer(apply(ring, p));
      } else {
        defer(e.offset(), p);
      }
    } else if (e.entry().orElse(null) instanceof RingCheckpoint c) {
      restore(c.ring(), c.nextOffset());
    }
  }

  private void defer(long offset, RingProposal p) {
    deferred.put(offset, p);
    if (deferred.size() > MAX_DEFERRED_PROPOSALS) {
      contiguousFromOffset = deferred.pollFirstEntry().getKey() + 1;
    }
  }

  private static RingState apply(RingState r, RingProposal p) {
    return p.baseVersion() == r.version() ? r.nextVersion(p.members()) : r;
  }

  private void adoptIfNewer(RingState r) {
    if (r.version() > ring.version()) {
      ring = r;
    }
  }
}
