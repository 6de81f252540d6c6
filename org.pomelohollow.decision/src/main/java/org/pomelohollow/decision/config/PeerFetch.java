package org.pomelohollow.decision.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.MemberId;

/**
 * Chooses the peer from which a configuration is fetched: one peer at a time, and another one if
 * the first does not reply within a timeout.
 */
final class PeerFetch {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int MAX_CANDIDATES = 16;

  /** Versions of peers, with the peers that did not reply in time at the end. */
  private final Map<MemberId, Long> candidates = new LinkedHashMap<>();

  private Optional<MemberId> asked = Optional.empty();
  private long askedNanos;

  /**
   * Records the version of a peer, unless there are {@link #MAX_CANDIDATES} other candidates.
   *
   * @param peer the peer
   * @param version its version
   */
  void addCandidate(MemberId peer, long version) {
    if (candidates.containsKey(peer) || candidates.size() < MAX_CANDIDATES) {
      candidates.put(peer, version);
    }
  }

  /**
   * Removes a peer, and no longer waits for its reply.
   *
   * @param peer the peer
   */
  void removePeer(MemberId peer) {
    candidates.remove(peer);
    recordReply(peer);
  }

  /**
   * Records that a peer has replied.
   *
   * @param peer the peer
   */
  void recordReply(MemberId peer) {
    asked = asked.filter(p -> !p.equals(peer));
  }

  /**
   * Chooses the peer to ask now. Candidates with an older version than the least are removed.
   *
   * @param leastVersion least version that is of use
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the peer; empty while waiting for the reply of another, or if there is no candidate
   */
  Optional<MemberId> choosePeer(long leastVersion, long nowNanos) {
    if (asked.isPresent() && nowNanos - askedNanos < TIMEOUT_NANOS) {
      return Optional.empty();
    }
    candidates.values().removeIf(v -> v < leastVersion);
    asked.filter(candidates::containsKey).ifPresent(p -> candidates.put(p, candidates.remove(p)));
    asked = candidates.keySet().stream().findFirst();
    askedNanos = nowNanos;
    return asked;
  }
}
