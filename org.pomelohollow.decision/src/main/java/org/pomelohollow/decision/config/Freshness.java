package org.pomelohollow.decision.config;

import java.util.concurrent.TimeUnit;

/**
 * Tracks how old this daemon's knowledge of the configuration may be. Knowledge is as fresh as the
 * last read of the log, or as that of a peer with no newer version.
 */
final class Freshness {
  /** Age from which knowledge no longer suffices on its own. */
  static final long BOUND_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Time after a pause in which what arrives may have been sent before it. */
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private boolean ticked;
  private long lastTickNanos;
  private long settledNanos = Long.MIN_VALUE;
  private boolean paused;
  private boolean known;
  private long knownNanos;
  private int members = 1;
  private int liveMembers = 1;

  /**
   * Notes that time passes, and a pause of the process if it did not for long.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void tick(long nowNanos) {
    if (isPaused(nowNanos)) {
      paused = true;
      settledNanos = nowNanos + SETTLE_NANOS;
    }
    ticked = true;
    lastTickNanos = nowNanos;
  }

  /**
   * Notes that this daemon's version was the newest at some time.
   *
   * @param atNanos that time, in nanoseconds
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void confirm(long atNanos, long nowNanos) {
    if (nowNanos < settledNanos || isPaused(nowNanos)) {
      return;
    }
    paused = false;
    if (!known || atNanos > knownNanos) {
      known = true;
      knownNanos = atNanos;
    }
    if (nowNanos - knownNanos < BOUND_NANOS) {
      members = liveMembers;
    }
  }

  /**
   * Notes the number of live members, this daemon included.
   *
   * @param live number of live members
   */
  void setLiveMembers(int live) {
    liveMembers = live;
    members = Math.max(members, live);
  }

  /**
   * Returns the age of the knowledge.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return nanoseconds, {@link Long#MAX_VALUE} if nothing is known
   */
  long ageNanos(long nowNanos) {
    return known ? nowNanos - knownNanos : Long.MAX_VALUE;
  }

  /**
   * Tells whether a withdrawn key might still pass for longer than the bound.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true after a pause until something confirms the version; else true if the knowledge is
   *     older than the bound and at least half of the members that were live then are gone
   */
  boolean isStale(long nowNanos) {
    if (paused || isPaused(nowNanos)) {
      return members > 1;
    }
    return ageNanos(nowNanos) > BOUND_NANOS && liveMembers * 2 <= members;
  }

  private boolean isPaused(long nowNanos) {
    return ticked && nowNanos - lastTickNanos > BOUND_NANOS;
  }
}
