package org.pomelohollow.decision.membership;

import java.util.OptionalLong;

/** When the latest heartbeats were sent, to tell how old a message that answers one can be. */
final class SentTimes {
  private static final int KEPT = 4096;

  private final long[] times = new long[KEPT];
  private long last;

  /**
   * Notes a heartbeat.
   *
   * @return its sequence number, from 1
   */
  long next(long nowNanos) {
    last++;
    times[(int) (last % KEPT)] = nowNanos;
    return last;
  }

  /** Returns the number that the next heartbeat gets. */
  long upcoming() {
    return last + 1;
  }

  /**
   * Returns the age of a heartbeat.
   *
   * @param sequence its number, from any source
   * @return its age in nanoseconds, empty if it is unknown or long ago
   */
  OptionalLong age(long sequence, long nowNanos) {
    return sequence > 0 && sequence <= last && sequence > last - KEPT
        ? OptionalLong.of(nowNanos - times[(int) (sequence % KEPT)])
        : OptionalLong.empty();
  }
}
