package org.pomelohollow.decision.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;

/**
 * Logs a warning when two hosts appear to be configured with the same host name. Warns once for
 * each incarnation of a daemon.
 */
final class DuplicateHostDetector {
  private static final String PART = "members";

  /**
   * Time for which heartbeats of a replaced incarnation are taken for late messages, or for a
   * process that is about to end.
   */
  private static final long REPLACED_GRACE_NANOS = 10_000_000_000L;

  /** Bound on the incarnations that are tracked, and on those that are warned of. */
  private static final int MAX_INCARNATIONS = 64;

  private final MemberId self;
  private final EffectSink effects;
  private final Map<MemberId, Long> firstHeartbeatAfterReplacement = new HashMap<>();
  private final Set<MemberId> warned = new HashSet<>();

  DuplicateHostDetector(MemberId self, EffectSink effects) {
    this.self = self;
    this.effects = effects;
  }

  /**
   * Warns if a later incarnation has the host name of this daemon.
   *
   * @param id incarnation that the log or a peer has mentioned
   */
  void checkIncarnation(MemberId id) {
    if (id.replaces(self)) {
      warnOnce(
          id,
          id
              + " has the host name of this daemon, "
              + self
              + ", and started later, so peers remove this daemon from their rosters: check that no"
              + " two hosts are configured with the same name");
    }
  }

  /**
   * Warns if the sender of a heartbeat has the host name of this daemon, or if it was replaced and
   * keeps sending heartbeats for longer than late messages can account for.
   *
   * @param m sender of the heartbeat
   * @param replaced whether a later incarnation of the sender's host is known
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void checkHeartbeat(Member m, boolean replaced, long nowNanos) {
    checkIncarnation(m.id());
    if (!replaced || m.leaving() || firstHeartbeatAfterReplacement.size() >= MAX_INCARNATIONS) {
      return;
    }
    long firstNanos = firstHeartbeatAfterReplacement.computeIfAbsent(m.id(), k -> nowNanos);
    if (nowNanos - firstNanos >= REPLACED_GRACE_NANOS) {
      warnOnce(
          m.id(),
          m.id()
              + " at "
              + m.peer()
              + " keeps sending heartbeats, which are ignored since a later incarnation has its"
              + " host name: check that no two hosts are configured with the same name");
    }
  }

  private void warnOnce(MemberId id, String text) {
    if (warned.size() < MAX_INCARNATIONS && warned.add(id)) {
      effects.emit(new Effect.LogLine(PART, true, text));
    }
  }
}
