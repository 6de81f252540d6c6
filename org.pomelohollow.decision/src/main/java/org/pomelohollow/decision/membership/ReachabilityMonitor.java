package org.pomelohollow.decision.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.pomelohollow.model.MemberId;

/**
 * Probes the members that this daemon routes to, and those to which it lost the link. Detects what
 * other daemons can't: that a live member is unreachable from this daemon.
 */
final class ReachabilityMonitor {
  /** Bound on the reachable members that are probed; the least recently used is dropped first. */
  private static final int MAX_REACHABLE_PROBED = 32;

  /** Time for which a member is probed after routing chose it. */
  private static final long USE_RETENTION_NANOS = 30_000_000_000L;

  /** Time from the sending of an acknowledged heartbeat to the next probe. */
  private static final long PROBE_AFTER_ACK_NANOS = 900_000_000L;

  /** Interval of probes without an acknowledgement; doubles while the member is unreachable. */
  private static final long PROBE_INTERVAL_NANOS = 300_000_000L;

  /** Age of the last acknowledged heartbeat from which a member counts as unreachable. */
  private static final long UNREACHABLE_AFTER_NANOS = 2_500_000_000L;

  private static final long MAX_PROBE_INTERVAL_NANOS = 8_000_000_000L;

  private final Map<MemberId, Path> paths = new LinkedHashMap<>();

  /**
   * Records that routing chose a member, and starts to probe it.
   *
   * @param id identity of the member
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void recordUse(MemberId id, long nowNanos) {
    Path p = paths.remove(id);
    if (p == null) {
      p = new Path(nowNanos);
      dropLeastRecentlyUsed();
    }
    p.usedAtNanos = nowNanos;
    paths.put(id, p);
  }

  /**
   * Marks a member as unreachable, after the link to it was lost or its heartbeats stopped.
   *
   * @param id identity of the member
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void markUnreachable(MemberId id, long nowNanos) {
    Path p = paths.computeIfAbsent(id, k -> new Path(nowNanos));
    if (!p.unreachable) {
      p.unreachable = true;
      p.unreachableSinceNanos = nowNanos;
      p.nextProbeNanos = nowNanos;
      p.probeIntervalNanos = PROBE_INTERVAL_NANOS;
    }
  }

  /**
   * Records that a member has acknowledged a heartbeat of this daemon. A heartbeat sent before the
   * member became unreachable doesn't count.
   *
   * @param id identity of the member
   * @param sentAtNanos when this daemon sent the heartbeat, monotonic, in nanoseconds
   */
  void recordAck(MemberId id, long sentAtNanos) {
    Path p = paths.get(id);
    if (p == null || sentAtNanos - p.ackedAtNanos <= 0) {
      return;
    }
    if (!p.unreachable || sentAtNanos - p.unreachableSinceNanos > 0) {
      p.unreachable = false;
      p.ackedAtNanos = sentAtNanos;
      p.nextProbeNanos = sentAtNanos + PROBE_AFTER_ACK_NANOS;
      p.probeIntervalNanos = PROBE_INTERVAL_NANOS;
    }
  }

  /**
   * Restarts the timeouts of all members, since this daemon itself was paused.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void restartTimeouts(long nowNanos) {
    paths.values().forEach(p -> p.ackedAtNanos = nowNanos);
  }

  /**
   * Sends the probes that are due and detects unreachable members.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @param isLive returns whether a member is live; other members are dropped
   * @param probe sends a member a request for a reply
   * @param unreachable receives a member that has become unreachable
   */
  void tick(
      long nowNanos,
      Predicate<MemberId> isLive,
      Consumer<MemberId> probe,
      Consumer<MemberId> unreachable) {
    Iterator<Map.Entry<MemberId, Path>> i = paths.entrySet().iterator();
    while (i.hasNext()) {
      Map.Entry<MemberId, Path> e = i.next();
      Path p = e.getValue();
      boolean idle = !p.unreachable && nowNanos - p.usedAtNanos > USE_RETENTION_NANOS;
      if (idle || !isLive.test(e.getKey())) {
        i.remove();
        continue;
      }
      if (!p.unreachable && nowNanos - p.ackedAtNanos >= UNREACHABLE_AFTER_NANOS) {
        p.unreachable = true;
        p.unreachableSinceNanos = nowNanos;
        unreachable.accept(e.getKey());
      }
      if (nowNanos - p.nextProbeNanos >= 0) {
        p.scheduleNextProbe(nowNanos);
        probe.accept(e.getKey());
      }
    }
  }

  private void dropLeastRecentlyUsed() {
    Iterator<Path> i = paths.values().iterator();
    int reachableCount = (int) paths.values().stream().filter(p -> !p.unreachable).count();
    while (reachableCount >= MAX_REACHABLE_PROBED && i.hasNext()) {
      if (!i.next().unreachable) {
        i.remove();
        reachableCount--;
      }
    }
  }

  /** State of the network path to one member. */
  private static final class Path {
    private long usedAtNanos;
    private long ackedAtNanos;
    private long nextProbeNanos;
    private long probeIntervalNanos = PROBE_INTERVAL_NANOS;
    private boolean unreachable;
    private long unreachableSinceNanos;

    Path(long nowNanos) {
      usedAtNanos = nowNanos;
      ackedAtNanos = nowNanos;
      nextProbeNanos = nowNanos;
    }

    /** Schedules the probe after the one that is sent now. */
    void scheduleNextProbe(long nowNanos) {
      nextProbeNanos = nowNanos + probeIntervalNanos;
      if (unreachable) {
        probeIntervalNanos = Math.min(2 * probeIntervalNanos, MAX_PROBE_INTERVAL_NANOS);
      }
    }
  }
}
