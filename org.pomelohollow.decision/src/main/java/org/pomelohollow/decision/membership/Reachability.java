package org.pomelohollow.decision.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.pomelohollow.model.MemberId;

/**
 * Probes the members that this daemon routes to, and those whose links it lost. Finds out what the
 * rest of the fleet can't: that a live member cannot be reached from here.
 */
final class Reachability {
  private static final int MAX_USED = 32;
  private static final long USED_NANOS = 30_000_000_000L;
  private static final long QUIET_NANOS = 900_000_000L;
  private static final long PROBE_EVERY_NANOS = 300_000_000L;
  private static final long UNREACHABLE_NANOS = 2_500_000_000L;
  private static final long LONGEST_PROBE_EVERY_NANOS = 8_000_000_000L;

  private final Map<MemberId, Path> paths = new LinkedHashMap<>();

  /** Notes that routing chose a member. */
  void used(MemberId id, long nowNanos) {
    Path p = paths.remove(id);
    if (p == null) {
      p = new Path(nowNanos);
      makeRoom();
    }
    p.usedAtNanos = nowNanos;
    paths.put(id, p);
  }

  /** Notes that the link to a member is gone, or that it has been silent. */
  void lost(MemberId id, long nowNanos) {
    Path p = paths.computeIfAbsent(id, k -> new Path(nowNanos));
    if (!p.lost) {
      p.lost = true;
      p.lostAtNanos = nowNanos;
      p.nextProbeNanos = nowNanos;
      p.probeEveryNanos = PROBE_EVERY_NANOS;
    }
  }

  /**
   * Notes that a member answered a heartbeat of this daemon.
   *
   * @param sentAtNanos when the heartbeat was sent
   */
  void answered(MemberId id, long sentAtNanos) {
    Path p = paths.get(id);
    if (p == null || sentAtNanos - p.answeredAtNanos <= 0) {
      return;
    }
    if (!p.lost || sentAtNanos - p.lostAtNanos > 0) {
      p.lost = false;
      p.answeredAtNanos = sentAtNanos;
      p.nextProbeNanos = sentAtNanos + QUIET_NANOS;
      p.probeEveryNanos = PROBE_EVERY_NANOS;
    }
  }

  /** Gives every path the full time again, because this daemon itself was silent. */
  void restart(long nowNanos) {
    paths.values().forEach(p -> p.answeredAtNanos = nowNanos);
  }

  /**
   * Looks for paths that are due for a probe or lost.
   *
   * @param isLive tells whether a member is live; others are forgotten
   * @param probe asks a member for an answer
   * @param unreachable takes a member that does not answer
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
      boolean unused = !p.lost && nowNanos - p.usedAtNanos > USED_NANOS;
      if (unused || !isLive.test(e.getKey())) {
        i.remove();
        continue;
      }
      if (!p.lost && nowNanos - p.answeredAtNanos >= UNREACHABLE_NANOS) {
        p.lost = true;
        p.lostAtNanos = nowNanos;
        unreachable.accept(e.getKey());
      }
      if (nowNanos - p.nextProbeNanos >= 0) {
        p.scheduleNext(nowNanos);
        probe.accept(e.getKey());
      }
    }
  }

  private void makeRoom() {
    Iterator<Path> i = paths.values().iterator();
    int used = (int) paths.values().stream().filter(p -> !p.lost).count();
    while (used >= MAX_USED && i.hasNext()) {
      if (!i.next().lost) {
        i.remove();
        used--;
      }
    }
  }

  private static final class Path {
    private long usedAtNanos;
    private long answeredAtNanos;
    private long nextProbeNanos;
    private long probeEveryNanos = PROBE_EVERY_NANOS;
    private boolean lost;
    private long lostAtNanos;

    Path(long nowNanos) {
      usedAtNanos = nowNanos;
      answeredAtNanos = nowNanos;
      nextProbeNanos = nowNanos;
    }

    void scheduleNext(long nowNanos) {
      nextProbeNanos = nowNanos + probeEveryNanos;
      if (lost) {
        probeEveryNanos = Math.min(2 * probeEveryNanos, LONGEST_PROBE_EVERY_NANOS);
      }
    }
  }
}
