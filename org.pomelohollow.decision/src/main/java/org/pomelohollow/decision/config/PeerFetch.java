package org.pomelohollow.decision.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.MemberId;

/** Chooses the peer to fetch a configuration from: one at a time, another one after a timeout. */
final class PeerFetch {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int MAX_CANDIDATES = 16;

  /** Versions of peers, the ones that were asked before at the end. */
  private final Map<MemberId, Long> candidates = new LinkedHashMap<>();

  private Optional<MemberId> asked = Optional.empty();
  private long askedNanos;

  /**
   * Notes the version of a peer.
   *
   * @param peer the peer
   * @param version its version
   */
  void hear(MemberId peer, long version) {
    if (candidates.containsKey(peer) || candidates.size() < MAX_CANDIDATES) {
      candidates.put(peer, version);
    }
  }

  /**
   * Forgets a peer, whether or not it was asked.
   *
   * @param peer the peer
   */
  void forget(MemberId peer) {
    candidates.remove(peer);
    answered(peer);
  }

  /**
   * Notes that a peer answered.
   *
   * @param peer the peer
   */
  void answered(MemberId peer) {
    asked = asked.filter(p -> !p.equals(peer));
  }

  /**
   * Chooses the peer to ask now.
   *
   * @param least least version of use
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the peer; empty while another one has time to answer, or if none is of use
   */
  Optional<MemberId> next(long least, long nowNanos) {
    if (asked.isPresent() && nowNanos - askedNanos < TIMEOUT_NANOS) {
      return Optional.empty();
    }
    candidates.values().removeIf(v -> v < least);
    asked.filter(candidates::containsKey).ifPresent(p -> candidates.put(p, candidates.remove(p)));
    asked = candidates.keySet().stream().findFirst();
    askedNanos = nowNanos;
    return asked;
  }
}
