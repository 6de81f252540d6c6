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
 * Failure detector for the neighbours of this daemon: probes a neighbour whose heartbeats stop, and
 * suspects it if they don't resume.
 */
final class NeighbourMonitor {
  /** Time without a heartbeat after which a neighbour is probed. */
  private static final long PROBE_AFTER_NANOS = 1_000_000_000L;

  private static final long PROBE_INTERVAL_NANOS = 200_000_000L;

  /** Suspicion timeout: time without a heartbeat after which a neighbour is suspected. */
  private static final long SUSPECT_AFTER_NANOS = 1_600_000_000L;

  /** Limit of the suspicion timeout, which doubles each time that it expires. */
  private static final long MAX_SUSPECT_AFTER_NANOS = 60_000_000_000L;

  /** Time left until the suspicion when the link to a neighbour is lost. */
  private static final long SUSPECT_AFTER_LINK_LOSS_NANOS = 600_000_000L;

  /** Number of suspicions within the window that widens the set of neighbours. */
  private static final int WIDENING_SUSPICIONS = 3;

  private static final long SUSPICION_WINDOW_NANOS = 2_000_000_000L;

  /** Time for which the set of neighbours stays wide after the last suspicion of a burst. */
  private static final long WIDENED_NANOS = 10_000_000_000L;

  private static final int WIDENED_PER_SIDE = 4;

  private final Map<MemberId, Neighbour> neighbours = new LinkedHashMap<>();
  private final Deque<Long> suspicionTimes = new ArrayDeque<>();
  private boolean widened;
  private long widenedUntilNanos;

  /** Returns the identities of the present neighbours. */
  Collection<MemberId> ids() {
    return Collections.unmodifiableCollection(neighbours.keySet());
  }

  /** Returns whether a member is a neighbour at present. */
  boolean contains(MemberId id) {
    return neighbours.containsKey(id);
  }

  /**
   * Returns how many neighbours to monitor on each side of a ring: more for a while after several
   * were suspected at once, so that the loss of a rack or zone is detected in few rounds.
   */
  int neighboursPerSide() {
    return widened ? WIDENED_PER_SIDE : 1;
  }

  /**
   * Sets the neighbours. A new one has the full suspicion timeout to send a heartbeat.
   *
   * @param ids identities of the neighbours
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void setNeighbours(Set<MemberId> ids, long nowNanos) {
    neighbours.keySet().retainAll(ids);
    ids.forEach(id -> neighbours.computeIfAbsent(id, k -> new Neighbour(nowNanos)));
  }

  /**
   * Records a heartbeat, if its sender is a neighbour, and resets the neighbour's timeout.
   *
   * @param id identity of the sender
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void recordHeartbeat(MemberId id, long nowNanos) {
    Neighbour n = neighbours.get(id);
    if (n != null) {
      n.lastHeartbeatAtNanos = nowNanos;
      n.suspectAfterNanos = SUSPECT_AFTER_NANOS;
    }
  }

  /**
   * Shortens the time left until a neighbour is suspected, because the link to it was lost. Has no
   * effect on a neighbour that was suspected since its last heartbeat.
   *
   * @param id identity of a member, neighbour or not
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void onLinkLost(MemberId id, long nowNanos) {
    Neighbour n = neighbours.get(id);
    if (n != null && n.suspectAfterNanos == SUSPECT_AFTER_NANOS) {
      long latestAllowedNanos = nowNanos - SUSPECT_AFTER_NANOS + SUSPECT_AFTER_LINK_LOSS_NANOS;
      n.lastHeartbeatAtNanos -= Math.max(0, n.lastHeartbeatAtNanos - latestAllowedNanos);
    }
  }

  /**
   * Counts the heartbeats in a row in which a neighbour's roster digest differed.
   *
   * @param id identity of the sender of a heartbeat
   * @param differs whether the digest in it differs from that of this daemon
   * @return the count, this heartbeat included; 0 if the sender is no neighbour
   */
  int countDigestMismatches(MemberId id, boolean differs) {
    Neighbour n = neighbours.get(id);
    if (n == null) {
      return 0;
    }
    n.digestMismatches = differs ? n.digestMismatches + 1 : 0;
    return n.digestMismatches;
  }

  /**
   * Restarts the suspicion timeouts of all neighbours, since this daemon itself was paused.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void restartTimeouts(long nowNanos) {
    neighbours.replaceAll((id, n) -> new Neighbour(nowNanos));
    suspicionTimes.clear();
  }

  /**
   * Returns whether this daemon is isolated: it has several neighbours and received no heartbeat of
   * any of them within the suspicion timeout.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if it is isolated
   */
  boolean isIsolated(long nowNanos) {
    return neighbours.size() > 1
        && neighbours.values().stream()
            .allMatch(n -> nowNanos - n.lastHeartbeatAtNanos >= SUSPECT_AFTER_NANOS);
  }

  /**
   * Probes and suspects the neighbours whose heartbeats have stopped.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @param probe sends a neighbour a request for a reply
   * @param suspect receives a neighbour whose suspicion timeout has expired; again after twice the
   *     timeout if it is still a neighbour
   */
  void tick(long nowNanos, Consumer<MemberId> probe, Consumer<MemberId> suspect) {
    neighbours.forEach(
        (id, n) -> {
          long sinceHeartbeatNanos = nowNanos - n.lastHeartbeatAtNanos;
          if (sinceHeartbeatNanos >= PROBE_AFTER_NANOS
              && nowNanos - n.lastProbeAtNanos >= PROBE_INTERVAL_NANOS) {
            n.lastProbeAtNanos = nowNanos;
            probe.accept(id);
          }
          if (sinceHeartbeatNanos >= n.suspectAfterNanos) {
            recordSuspicion(n, nowNanos);
            suspect.accept(id);
          }
        });
    widened = widened && nowNanos - widenedUntilNanos < 0;
  }

  private void recordSuspicion(Neighbour n, long nowNanos) {
    n.suspectAfterNanos = Math.min(2 * n.suspectAfterNanos, MAX_SUSPECT_AFTER_NANOS);
    suspicionTimes.add(nowNanos);
    suspicionTimes.removeIf(t -> nowNanos - t > SUSPICION_WINDOW_NANOS);
    if (suspicionTimes.size() >= WIDENING_SUSPICIONS) {
      widened = true;
      widenedUntilNanos = nowNanos + WIDENED_NANOS;
    }
  }

  /** Timers and counters of one neighbour. */
  private static final class Neighbour {
    private long lastHeartbeatAtNanos;
    private long lastProbeAtNanos;
    private long suspectAfterNanos = SUSPECT_AFTER_NANOS;
    private int digestMismatches;

    Neighbour(long nowNanos) {
      lastHeartbeatAtNanos = nowNanos;
      lastProbeAtNanos = nowNanos;
    }
  }
}
