package org.pomelohollow.decision.membership;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.pomelohollow.model.MemberId;

/**
 * Watches the neighbours of this daemon: probes one that falls silent, and suspects it if it stays
 * so.
 */
final class NeighbourMonitor {
  private static final long PROBE_AFTER_NANOS = 1_000_000_000L;
  private static final long PROBE_EVERY_NANOS = 200_000_000L;
  private static final long SUSPECT_AFTER_NANOS = 1_600_000_000L;
  private static final long LONGEST_SUSPECT_AFTER_NANOS = 60_000_000_000L;
  private static final long AFTER_LINK_LOSS_NANOS = 600_000_000L;
  private static final int MANY_SUSPECTS = 3;
  private static final long MANY_SUSPECTS_NANOS = 2_000_000_000L;
  private static final long WIDE_NANOS = 10_000_000_000L;
  private static final int WIDE = 4;

  private final Map<MemberId, Neighbour> neighbours = new LinkedHashMap<>();
  private final Deque<Long> suspectTimes = new ArrayDeque<>();
  private boolean wide;
  private long wideUntilNanos;

  /** Returns the present neighbours. */
  Collection<MemberId> ids() {
    return Collections.unmodifiableCollection(neighbours.keySet());
  }

  boolean contains(MemberId id) {
    return neighbours.containsKey(id);
  }

  /**
   * Returns how many neighbours to watch on each side of a ring: more for a while after several
   * were suspected at once, so that the loss of a rack or zone is found out in few rounds.
   */
  int width() {
    return wide ? WIDE : 1;
  }

  /** Sets who the neighbours are. New ones have the full time to be heard. */
  void replace(Set<MemberId> ids, long nowNanos) {
    neighbours.keySet().retainAll(ids);
    ids.forEach(id -> neighbours.computeIfAbsent(id, k -> new Neighbour(nowNanos)));
  }

  /** Notes a sign of life. */
  void heard(MemberId id, long nowNanos) {
    Neighbour n = neighbours.get(id);
    if (n != null) {
      n.heardAtNanos = nowNanos;
      n.suspectAfterNanos = SUSPECT_AFTER_NANOS;
    }
  }

  /** Notes that the link to a neighbour is gone, which shortens its time to be heard. */
  void linkLost(MemberId id, long nowNanos) {
    Neighbour n = neighbours.get(id);
    if (n != null && n.suspectAfterNanos == SUSPECT_AFTER_NANOS) {
      long latest = nowNanos - SUSPECT_AFTER_NANOS + AFTER_LINK_LOSS_NANOS;
      n.heardAtNanos -= Math.max(0, n.heardAtNanos - latest);
    }
  }

  /**
   * Counts how often a neighbour's roster was seen to differ in a row.
   *
   * @return the count, this time included; 0 for a daemon that is no neighbour
   */
  int countMismatch(MemberId id, boolean differs) {
    Neighbour n = neighbours.get(id);
    if (n == null) {
      return 0;
    }
    n.mismatches = differs ? n.mismatches + 1 : 0;
    return n.mismatches;
  }

  /** Gives every neighbour the full time again, because this daemon itself was silent. */
  void restart(long nowNanos) {
    neighbours.replaceAll((id, n) -> new Neighbour(nowNanos));
    suspectTimes.clear();
  }

  /** Tells whether there are several neighbours and none has been heard lately. */
  boolean isIsolated(long nowNanos) {
    return neighbours.size() > 1
        && neighbours.values().stream()
            .allMatch(n -> nowNanos - n.heardAtNanos >= SUSPECT_AFTER_NANOS);
  }

  /**
   * Looks for silent neighbours.
   *
   * @param probe asks a neighbour for an answer
   * @param suspect takes a neighbour that has been silent for too long
   */
  void tick(long nowNanos, Consumer<MemberId> probe, Consumer<MemberId> suspect) {
    neighbours.forEach(
        (id, n) -> {
          long silentNanos = nowNanos - n.heardAtNanos;
          if (silentNanos >= PROBE_AFTER_NANOS && nowNanos - n.probedAtNanos >= PROBE_EVERY_NANOS) {
            n.probedAtNanos = nowNanos;
            probe.accept(id);
          }
          if (silentNanos >= n.suspectAfterNanos) {
            noteSuspect(n, nowNanos);
            suspect.accept(id);
          }
        });
    wide = wide && nowNanos - wideUntilNanos < 0;
  }

  private void noteSuspect(Neighbour n, long nowNanos) {
    n.suspectAfterNanos = Math.min(2 * n.suspectAfterNanos, LONGEST_SUSPECT_AFTER_NANOS);
    suspectTimes.add(nowNanos);
    suspectTimes.removeIf(t -> nowNanos - t > MANY_SUSPECTS_NANOS);
    if (suspectTimes.size() >= MANY_SUSPECTS) {
      wide = true;
      wideUntilNanos = nowNanos + WIDE_NANOS;
    }
  }

  private static final class Neighbour {
    private long heardAtNanos;
    private long probedAtNanos;
    private long suspectAfterNanos = SUSPECT_AFTER_NANOS;
    private int mismatches;

    Neighbour(long nowNanos) {
      heardAtNanos = nowNanos;
      probedAtNanos = nowNanos;
    }
  }
}
