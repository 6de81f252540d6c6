package org.pomelohollow.decision.config;

import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Event;
import org.pomelohollow.model.Roster;

/**
 * Decides when this daemon appends a checkpoint to the log. Once a checkpoint is due, every live
 * daemon waits for a delay that grows with its rank in the order of a hash of the identities, and
 * appends only if no checkpoint has appeared by then. So normally one daemon appends it.
 */
final class CheckpointSchedule {
  private static final long CHECKPOINT_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(5);
  private static final long DELAY_PER_RANK_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long MAX_JITTER_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long RETRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private boolean started;
  private long newestOffset = -1;
  private long newestSeenNanos;
  private boolean due;
  private long dueSinceNanos;
  private boolean appended;
  private long appendedNanos;

  /**
   * Records a checkpoint that was read from the log.
   *
   * @param offset first offset that is not folded into the state of the checkpoint
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void recordCheckpoint(long offset, long nowNanos) {
    if (offset > newestOffset) {
      newestOffset = offset;
      newestSeenNanos = nowNanos;
      due = false;
      appended = false;
    }
  }

  /**
   * Decides whether this daemon must append a checkpoint now, and if so counts the append as begun.
   *
   * @param read the last read of the configuration stream
   * @param roster live members
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if the caller must append a checkpoint; true again for the same checkpoint only
   *     after a retry interval
   */
  boolean startAppendIfDue(Event.LogRead read, Roster roster, long nowNanos) {
    if (!started) {
      started = true;
      newestSeenNanos = nowNanos;
    }
    if (!isDue(read, nowNanos)) {
      due = false;
      return false;
    }
    if (!due) {
      due = true;
      dueSinceNanos = nowNanos;
    }
    if (nowNanos - dueSinceNanos < delayNanos(roster)) {
      return false;
    }
    if (appended && nowNanos - appendedNanos < RETRY_INTERVAL_NANOS) {
      return false;
    }
    appended = true;
    appendedNanos = nowNanos;
    return true;
  }

  /** Returns the first offset not folded into the newest checkpoint's state, -1 without one. */
  long newestOffset() {
    return newestOffset;
  }

  /**
   * Returns whether a checkpoint is due: entries after the state of the newest one have expired, or
   * a checkpoint interval has passed since it was read or since the start.
   */
  private boolean isDue(Event.LogRead read, long nowNanos) {
    boolean expired = read.oldestOffset() > Math.max(newestOffset, 0);
    return expired || nowNanos - newestSeenNanos >= CHECKPOINT_INTERVAL_NANOS;
  }

  private static long delayNanos(Roster roster) {
    return RosterRank.of(roster) * DELAY_PER_RANK_NANOS
        + RosterRank.jitter(roster.self(), MAX_JITTER_NANOS);
  }
}
