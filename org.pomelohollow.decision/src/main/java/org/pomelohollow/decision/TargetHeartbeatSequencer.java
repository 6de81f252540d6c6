package org.pomelohollow.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Orders the heartbeats of a target's successive incarnations and detects those that are out of
 * date. A heartbeat may arrive after a later one of the same incarnation, or after a new
 * incarnation has taken over the address. An incarnation that has announced that it drains never
 * returns to service; nor does one that withdraws before its first heartbeat is received, as after
 * a restart of the daemon.
 */
public final class TargetHeartbeatSequencer {
  private static final int MAX_WITHDRAWN = 64;

  /** Start time of the latest withdrawn incarnation, by instance; the oldest entries go first. */
  private final Map<String, Long> withdrawn =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_WITHDRAWN;
        }
      };

  private Optional<TargetAnnouncement> current = Optional.empty();
  private long sequence;
  private boolean draining;

  /**
   * Applies a heartbeat.
   *
   * @param heartbeat the heartbeat
   * @return the resulting state of the target, or that the heartbeat is out of date
   */
  public Outcome accept(TargetHeartbeat heartbeat) {
    TargetAnnouncement a = heartbeat.announcement();
    if (a.startedMillis() <= withdrawn.getOrDefault(a.instance(), Long.MIN_VALUE)) {
      return Outcome.STALE;
    }
    if (current.filter(a::isSameIncarnation).isPresent()) {
      if (draining || heartbeat.sequence() <= sequence) {
        return Outcome.STALE;
      }
    } else if (current.filter(c -> isEarlier(a, c)).isPresent()) {
      return Outcome.STALE;
    }
    current = Optional.of(a);
    sequence = heartbeat.sequence();
    draining = heartbeat.draining();
    return draining ? Outcome.DRAINING : Outcome.IN_SERVICE;
  }

  /**
   * Marks the current incarnation as withdrawn by a message other than a heartbeat.
   *
   * @param instance identifier of the incarnation that withdraws
   * @param startedMillis its wall-clock start time, in milliseconds since the epoch; 0 if unknown
   * @return whether it is the current incarnation; otherwise the state of the target does not
   *     change
   */
  public boolean withdraw(String instance, long startedMillis) {
    boolean matches =
        current
            .filter(c -> c.instance().equals(instance))
            .filter(c -> startedMillis == 0 || startedMillis == c.startedMillis())
            .isPresent();
    draining |= matches;
    if (startedMillis != 0) {
      withdrawn.merge(instance, startedMillis, Math::max);
    }
    return matches;
  }

  /**
   * Returns whether an incarnation started before another. One without a start time counts as
   * earlier than one with it: a delayed heartbeat must not bring a former incarnation back.
   */
  private static boolean isEarlier(TargetAnnouncement a, TargetAnnouncement other) {
    return a.startedMillis() < other.startedMillis();
  }

  /** Result of applying a heartbeat. */
  public enum Outcome {
    /** The target accepts requests. */
    IN_SERVICE,
    /** The target drains and gets no new requests. */
    DRAINING,
    /** The heartbeat is out of date. */
    STALE
  }
}
