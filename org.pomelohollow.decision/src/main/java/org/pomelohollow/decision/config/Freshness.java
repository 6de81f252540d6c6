package org.pomelohollow.decision.config;

import java.util.concurrent.TimeUnit;

/**
 * Tracks how long ago the active version of this daemon was last confirmed to be the newest. A read
 * of the log to its end confirms it, and so does a peer that has no newer version, for the time at
 * which the peer's own version was confirmed.
 */
final class Freshness {
  /**
   * Age of the last confirmation above which it does not suffice on its own; also the least gap
   * between two ticks that counts as a pause of the process.
   */
  static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /**
   * Time after a pause in which confirmations are ignored, since they may have been sent before the
   * pause.
   */
  private static final long IGNORE_AFTER_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private boolean ticked;
  private long lastTickNanos;
  private long ignoreUntilNanos = Long.MIN_VALUE;
  private boolean paused;
  private boolean confirmed;
  private long confirmedNanos;

  /** Largest number of live members since the last confirmation that was fresh on arrival. */
  private int membersWhenFresh = 1;

  private int liveMembers = 1;

  /**
   * Records that the process is running, and detects a pause if it was not for a long time.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void tick(long nowNanos) {
    if (isPaused(nowNanos)) {
      paused = true;
      ignoreUntilNanos = nowNanos + IGNORE_AFTER_PAUSE_NANOS;
    }
    ticked = true;
    lastTickNanos = nowNanos;
  }

  /**
   * Records that the version of this daemon was the newest at some time.
   *
   * @param atNanos that time, in nanoseconds of the monotonic clock
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void confirm(long atNanos, long nowNanos) {
    if (nowNanos < ignoreUntilNanos || isPaused(nowNanos)) {
      return;
    }
    paused = false;
    if (!confirmed || atNanos > confirmedNanos) {
      confirmed = true;
      confirmedNanos = atNanos;
    }
    if (nowNanos - confirmedNanos < MAX_AGE_NANOS) {
      membersWhenFresh = liveMembers;
    }
  }

  /**
   * Records the number of live members, including this daemon.
   *
   * @param live number of live members
   */
  void setLiveMembers(int live) {
    liveMembers = live;
    membersWhenFresh = Math.max(membersWhenFresh, live);
  }

  /**
   * Returns the time since the version of this daemon was last confirmed to be the newest.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return time in nanoseconds, {@link Long#MAX_VALUE} if it was never confirmed
   */
  long ageNanos(long nowNanos) {
    return confirmed ? nowNanos - confirmedNanos : Long.MAX_VALUE;
  }

  /**
   * Returns whether a withdrawn API key might still be accepted for longer than {@link
   * #MAX_AGE_NANOS}.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return after a pause, and until the version is confirmed again: true if there were other
   *     members; otherwise true if the last confirmation is older than {@link #MAX_AGE_NANOS} and
   *     at least half of the members that were live then are gone
   */
  boolean isStale(long nowNanos) {
    if (paused || isPaused(nowNanos)) {
      return membersWhenFresh > 1;
    }
    return ageNanos(nowNanos) > MAX_AGE_NANOS && liveMembers * 2 <= membersWhenFresh;
  }

  private boolean isPaused(long nowNanos) {
    return ticked && nowNanos - lastTickNanos > MAX_AGE_NANOS;
  }
}
