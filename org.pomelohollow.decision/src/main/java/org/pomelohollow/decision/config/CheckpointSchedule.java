package org.pomelohollow.decision.config;

import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Event;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;

/**
 * Decides when this daemon appends a checkpoint. The live daemons take turns in the order of a hash
 * of their identities; one whose turn comes later appends only if no checkpoint appeared.
 */
final class CheckpointSchedule {
  private static final long PERIOD_NANOS = TimeUnit.MINUTES.toNanos(5);
  private static final long TURN_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long JITTER_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(10);

  private boolean started;
  private long newestOffset = -1;
  private long newestSeenNanos;
  private boolean due;
  private long dueSinceNanos;
  private boolean appended;
  private long appendedNanos;

  /**
   * Notes a checkpoint in the log.
   *
   * @param offset offset of its state
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void saw(long offset, long nowNanos) {
    if (offset > newestOffset) {
      newestOffset = offset;
      newestSeenNanos = nowNanos;
      due = false;
      appended = false;
    }
  }

  /**
   * Tells whether to append now; counts as the append if so.
   *
   * @param read the last read of the stream
   * @param roster live members
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true once per turn
   */
  boolean takeTurn(Event.LogRead read, Roster roster, long nowNanos) {
    if (!started) {
      started = true;
      newestSeenNanos = nowNanos;
    }
    if (!isNeeded(read, nowNanos)) {
      due = false;
      return false;
    }
    if (!due) {
      due = true;
      dueSinceNanos = nowNanos;
    }
    if (nowNanos - dueSinceNanos < delay(roster)) {
      return false;
    }
    if (appended && nowNanos - appendedNanos < RETRY_NANOS) {
      return false;
    }
    appended = true;
    appendedNanos = nowNanos;
    return true;
  }

  /** Returns the offset of the newest checkpoint's state, -1 if none was seen. */
  long newestOffset() {
    return newestOffset;
  }

  private boolean isNeeded(Event.LogRead read, long nowNanos) {
    boolean expired = read.oldestOffset() > Math.max(newestOffset, 0);
    return expired || nowNanos - newestSeenNanos >= PERIOD_NANOS;
  }

  private static long delay(Roster roster) {
    long own = hash(roster.self());
    long before = roster.members().stream().filter(m -> hash(m.id()) < own).count();
    return before * TURN_NANOS + Math.floorMod(own, JITTER_NANOS);
  }

  private static long hash(MemberId id) {
    long h = id.host().hashCode() * 0x9E3779B97F4A7C15L + id.incarnation();
    h = (h ^ (h >>> 32)) * 0xD6E8FEB86659FD93L;
    return h ^ (h >>> 29);
  }
}
