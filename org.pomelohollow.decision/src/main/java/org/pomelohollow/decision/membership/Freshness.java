package org.pomelohollow.decision.membership;

/**
 * Whether this daemon's view of the fleet can be believed. After a start, a pause of the process or
 * isolation it can't, until a peer has confirmed or replaced it.
 */
final class Freshness {
  private static final long UNCONFIRMED_NANOS = 2_000_000_000L;
  private static final long PROBE_EVERY_NANOS = 200_000_000L;

  private boolean fresh;
  private boolean answered;
  private long epoch;
  private long firstSequence;
  private long staleSinceNanos;
  private long nextProbeNanos;

  boolean isFresh() {
    return fresh;
  }

  /** Returns a number that rises whenever the view becomes stale. */
  long epoch() {
    return epoch;
  }

  /**
   * Stops believing the view.
   *
   * @param firstSequence number of the first heartbeat whose answer is sure to be recent
   */
  void lose(long firstSequence, long nowNanos) {
    fresh = false;
    answered = false;
    epoch++;
    this.firstSequence = firstSequence;
    staleSinceNanos = nowNanos;
    nextProbeNanos = nowNanos;
  }

  /** Believes the view again. */
  void confirm() {
    fresh = true;
  }

  /**
   * Notes an answer to a heartbeat.
   *
   * @return whether the heartbeat was sent since the view became stale
   */
  boolean answered(long sequence) {
    boolean recent = sequence >= firstSequence;
    answered |= recent;
    return recent;
  }

  /**
   * Lets time pass. Where no peer vouches for its view, as when a fleet starts, the answers that
   * came in after a while have to do.
   *
   * @return whether a round of probes is due
   */
  boolean tick(long nowNanos) {
    if (fresh) {
      return false;
    }
    if (answered && nowNanos - staleSinceNanos >= UNCONFIRMED_NANOS) {
      fresh = true;
      return false;
    }
    boolean due = nowNanos - nextProbeNanos >= 0;
    if (due) {
      nextProbeNanos = nowNanos + PROBE_EVERY_NANOS;
    }
    return due;
  }
}
