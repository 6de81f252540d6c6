package org.pomelohollow.decision.membership;

import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Member;

/** Keeps this daemon's own record in the members stream: joins, renews, leaves. */
final class LogPresence {
  private static final long RENEWAL_NANOS = 600_000_000_000L;
  private static final long FIRST_RETRY_NANOS = 2_000_000_000L;
  private static final long LONGEST_RETRY_NANOS = 60_000_000_000L;
  private static final long NO_OFFSET = -1;

  private final Member self;
  private final RandomGenerator random;
  private final EffectSink effects;
  private boolean started;
  private boolean joined;
  private boolean leaving;
  private boolean left;
  private long nextAppendNanos;
  private long retryNanos = FIRST_RETRY_NANOS;
  private long offset = NO_OFFSET;

  LogPresence(Member self, RandomGenerator random, EffectSink effects) {
    this.self = self;
    this.random = random;
    this.effects = effects;
  }

  boolean isJoined() {
    return joined;
  }

  /** Appends the leave as soon as possible. */
  void leave(long nowNanos) {
    leaving = true;
    retryNanos = FIRST_RETRY_NANOS;
    append(nowNanos);
  }

  void tick(long nowNanos) {
    if (!left && (!started || nowNanos - nextAppendNanos >= 0)) {
      append(nowNanos);
    }
  }

  /** Notes how an append ended. */
  void ended(Event.AppendCompleted a, long nowNanos) {
    if (a.appendId() != appendId()) {
      return;
    }
    boolean appended = a.outcome() == Event.AppendOutcome.APPENDED;
    if (appended && leaving) {
      left = true;
    } else if (appended) {
      joined = true;
      retryNanos = FIRST_RETRY_NANOS;
      nextAppendNanos = nowNanos + jitter(RENEWAL_NANOS);
    }
  }

  /** Looks for the own record, and renews at once if it has expired. */
  void read(Event.LogRead r, long nowNanos) {
    r.entries().forEach(this::lookForOwn);
    if (offset != NO_OFFSET && offset < r.oldestOffset()) {
      offset = NO_OFFSET;
      nextAppendNanos = nowNanos;
    }
  }

  private void lookForOwn(StoredEntry e) {
    if (e.entry().orElse(null) instanceof MemberJoined j && j.member().equals(self.id())) {
      offset = Math.max(offset, e.offset());
    }
  }

  private void append(long nowNanos) {
    started = true;
    nextAppendNanos = nowNanos + jitter(retryNanos);
    retryNanos = Math.min(2 * retryNanos, LONGEST_RETRY_NANOS);
    LogEntry e =
        leaving ? new MemberLeft(self.id()) : new MemberJoined(self.id(), self.peer(), self.zone());
    effects.emit(new Effect.Append(appendId(), LogStream.MEMBERS, e));
  }

  private long appendId() {
    return leaving ? -self.id().incarnation() : self.id().incarnation();
  }

  private long jitter(long nanos) {
    return nanos / 2 + random.nextLong(nanos / 2);
  }
}
