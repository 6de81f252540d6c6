package org.pomelohollow.standin.log;

/**
 * Faults that are injected into the log.
 *
 * @param down whether every request fails with status 503
 * @param appendDelayMillis added latency of an append, in milliseconds
 * @param readDelayMillis added latency of a read, in milliseconds
 * @param lostResponses number of coming appends that are stored but whose response is lost
 * @param retainedRecords most records that each stream retains; the oldest are dropped first
 */
public record LogFaults(
    boolean down,
    long appendDelayMillis,
    long readDelayMillis,
    int lostResponses,
    int retainedRecords) {
  /** No faults. */
  public static final LogFaults NONE = new LogFaults(false, 0, 0, 0, Integer.MAX_VALUE);

  /**
   * Returns a copy that is unavailable or available.
   *
   * @param d whether every request fails with status 503
   * @return the copy
   */
  public LogFaults withDown(boolean d) {
    return new LogFaults(d, appendDelayMillis, readDelayMillis, lostResponses, retainedRecords);
  }

  /**
   * Returns a copy with other delays.
   *
   * @param appendMillis added latency of an append, in milliseconds
   * @param readMillis added latency of a read, in milliseconds
   * @return the copy
   */
  public LogFaults withDelays(long appendMillis, long readMillis) {
    return new LogFaults(down, appendMillis, readMillis, lostResponses, retainedRecords);
  }

  /**
   * Returns a copy that loses the responses of appends.
   *
   * @param n number of coming appends whose response is lost
   * @return the copy
   */
  public LogFaults withLostResponses(int n) {
    return new LogFaults(down, appendDelayMillis, readDelayMillis, n, retainedRecords);
  }

  /**
   * Returns a copy with another retention.
   *
   * @param n most records that each stream retains
   * @return the copy
   */
  public LogFaults withRetainedRecords(int n) {
    return new LogFaults(down, appendDelayMillis, readDelayMillis, lostResponses, n);
  }
}
