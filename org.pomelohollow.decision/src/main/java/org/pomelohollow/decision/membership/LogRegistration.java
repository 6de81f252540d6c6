package org.pomelohollow.decision.membership;

import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Member;

/**
 * Maintains this daemon's own record in the members stream: appends it at the start, renews it at
 * intervals and when the log has expired it, and appends a leave at shutdown.
 */
final class LogRegistration {
  /** Longest time between renewals; jitter shortens it by up to a half. */
  private static final long RENEWAL_INTERVAL_NANOS = 600_000_000_000L;

  /** Longest delay of the renewal after the log was restored; jitter spreads the appends of all. */
  private static final long RESTORED_RENEWAL_NANOS = 2_000_000_000L;

  /** Longest delay of the first retry; jitter shortens it, and each retry doubles it. */
  private static final long INITIAL_RETRY_NANOS = 2_000_000_000L;

  private static final long MAX_RETRY_NANOS = 60_000_000_000L;
  private static final long NO_OFFSET = -1;

  private final Member self;
  private final RandomGenerator random;
  private final EffectSink effects;
  private boolean started;
  private boolean joined;
  private boolean leaving;
  private boolean leaveAppended;
  private long nextAppendNanos;
  private long retryDelayNanos = INITIAL_RETRY_NANOS;
  private long offset = NO_OFFSET;

  LogRegistration(Member self, RandomGenerator random, EffectSink effects) {
    this.self = self;
    this.random = random;
    this.effects = effects;
  }

  /** Returns whether an append of the own record has succeeded. */
  boolean isJoined() {
    return joined;
  }

  /**
   * Appends the leave at once, and repeats that until it succeeds.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void leave(long nowNanos) {
    leaving = true;
    retryDelayNanos = INITIAL_RETRY_NANOS;
    append(nowNanos);
  }

  /**
   * Appends if it is the first call, or if a renewal or a retry is due.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void tick(long nowNanos) {
    if (!leaveAppended && (!started || nowNanos - nextAppendNanos >= 0)) {
      append(nowNanos);
    }
  }

  /**
   * Handles the end of an append. After a failure the retry that was scheduled stays due.
   *
   * @param a outcome of an append, possibly of another part of this daemon
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void onAppendEnded(Event.AppendCompleted a, long nowNanos) {
    if (a.appendId() != appendId()) {
      return;
    }
    boolean appended = a.outcome() == Event.AppendOutcome.APPENDED;
    if (appended && leaving) {
      leaveAppended = true;
    } else if (appended) {
      joined = true;
      retryDelayNanos = INITIAL_RETRY_NANOS;
      nextAppendNanos = nowNanos + jitter(RENEWAL_INTERVAL_NANOS);
    }
  }

  /**
   * Finds the offset of the own record, and schedules a renewal at once if the record has expired.
   *
   * @param r a read of the members stream
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void onLogRead(Event.LogRead r, long nowNanos) {
    r.entries().forEach(this::findOwnRecord);
    if (offset != NO_OFFSET && offset < r.oldestOffset()) {
      offset = NO_OFFSET;
      nextAppendNanos = nowNanos;
    }
  }

  /**
   * Schedules a renewal, since the log has lost its newest entries.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void onLogRestored(long nowNanos) {
    offset = NO_OFFSET;
    nextAppendNanos = nowNanos + jitter(RESTORED_RENEWAL_NANOS);
  }

  private void findOwnRecord(StoredEntry e) {
    if (e.entry().orElse(null) instanceof MemberJoined j && j.member().equals(self.id())) {
      offset = Math.max(offset, e.offset());
    }
  }

  private void append(long nowNanos) {
    started = true;
    nextAppendNanos = nowNanos + jitter(retryDelayNanos);
    retryDelayNanos = Math.min(2 * retryDelayNanos, MAX_RETRY_NANOS);
    LogEntry e =
        leaving ? new MemberLeft(self.id()) : new MemberJoined(self.id(), self.peer(), self.zone());
    effects.emit(new Effect.Append(appendId(), LogStream.MEMBERS, e));
  }

  /** Returns the identifier of the append: the leave has another one than the join. */
  private long appendId() {
    return leaving ? -self.id().incarnation() : self.id().incarnation();
  }

  /** Returns a random time between a half and the whole of the given one. */
  private long jitter(long nanos) {
    return nanos / 2 + random.nextLong(nanos / 2);
  }
}
