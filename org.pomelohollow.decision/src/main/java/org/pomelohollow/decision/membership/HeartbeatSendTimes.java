package org.pomelohollow.decision.membership;

import java.util.OptionalLong;

/**
 * Send times of this daemon's latest heartbeats, by sequence number. They bound the age of a
 * message that acknowledges one: it was sent later.
 */
final class HeartbeatSendTimes {
  /** Number of heartbeats whose times are kept. */
  private static final int CAPACITY = 4096;

  private final long[] sentAtNanos = new long[CAPACITY];
  private long lastSequence;

  /**
   * Records the sending of a heartbeat.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return sequence number of the heartbeat, from 1
   */
  long recordNext(long nowNanos) {
    lastSequence++;
    sentAtNanos[(int) (lastSequence % CAPACITY)] = nowNanos;
    return lastSequence;
  }

  /** Returns the sequence number that the next heartbeat will get. */
  long nextSequence() {
    return lastSequence + 1;
  }

  /**
   * Returns the age of a heartbeat.
   *
   * @param sequence sequence number that a peer acknowledged, any value
   * @param nowNanos current monotonic time, in nanoseconds
   * @return time since the heartbeat was sent, in nanoseconds; empty if there was no such heartbeat
   *     or its time is no longer kept
   */
  OptionalLong ageNanos(long sequence, long nowNanos) {
    return sequence > 0 && sequence <= lastSequence && sequence > lastSequence - CAPACITY
        ? OptionalLong.of(nowNanos - sentAtNanos[(int) (sequence % CAPACITY)])
        : OptionalLong.empty();
  }
}
