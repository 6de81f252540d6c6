package org.pomelohollow.decision.claim;

import java.util.TreeMap;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.StoredEntry;

/**
 * Folds the stream of ring proposals. After a gap in the log it applies none until a checkpoint or
 * a peer has told the state at an offset that it has read on from, since it can't tell which of two
 * proposals on one base came first.
 */
final class RingFold {
  private static final int MAX_HELD = 64;

  private final TreeMap<Long, RingProposal> held = new TreeMap<>();
  private RingState ring = RingState.NONE;
  private long contiguousFrom;
  private long nextOffset;
  private long endOffset = Long.MAX_VALUE;
  private boolean certain = true;

  RingState ring() {
    return ring;
  }

  /** Returns the offset up to which the stream is read, or -1 after a gap. */
  long through() {
    return certain ? nextOffset : -1;
  }

  long endOffset() {
    return endOffset;
  }

  /** Tells whether all entries that the platform has are read. */
  boolean isCaughtUp() {
    return nextOffset >= endOffset;
  }

  /** Tells whether the fold knows what the next proposal applies to. */
  boolean isCertain() {
    return certain;
  }

  void read(Event.LogRead r) {
    long start = Math.max(r.fromOffset(), r.oldestOffset());
    if (start > nextOffset) {
      certain = false;
      held.clear();
      contiguousFrom = start;
      nextOffset = start;
    }
    r.entries().forEach(this::fold);
    endOffset = r.endOffset();
  }

  /** Takes a state that a checkpoint or a peer tells. */
  void restore(RingState told, long through) {
    adopt(told);
    if (certain || through < contiguousFrom) {
      return;
    }
    certain = true;
    RingState r = told;
    for (RingProposal p : held.tailMap(through).values()) {
      r = apply(r, p);
    }
    held.clear();
    adopt(r);
  }

  private void fold(StoredEntry e) {
    if (e.offset() < nextOffset) {
      return;
    }
    nextOffset = e.offset() + 1;
    if (e.entry().orElse(null) instanceof RingProposal p) {
      if (certain) {
        adopt(apply(ring, p));
      } else {
        hold(e.offset(), p);
      }
    } else if (e.entry().orElse(null) instanceof RingCheckpoint c) {
      restore(c.ring(), c.through());
    }
  }

  private void hold(long offset, RingProposal p) {
    held.put(offset, p);
    if (held.size() > MAX_HELD) {
      contiguousFrom = held.pollFirstEntry().getKey() + 1;
    }
  }

  private static RingState apply(RingState r, RingProposal p) {
    return p.base() == r.version() ? r.next(p.members()) : r;
  }

  private void adopt(RingState r) {
    if (r.version() > ring.version()) {
      ring = r;
    }
  }
}
