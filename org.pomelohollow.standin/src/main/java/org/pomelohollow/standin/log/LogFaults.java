package org.pomelohollow.standin.log;

/**
 * Faults of the log.
 *
 * @param down whether every request fails
 * @param appendDelayMillis time that an append takes, in milliseconds
 * @param readDelayMillis time that a read takes, in milliseconds
 * @param loseAnswers number of coming appends whose answer is lost after the write
 * @param retainedRecords records that each stream keeps, the oldest are dropped first
 */
public record LogFaults(
    boolean down,
    long appendDelayMillis,
    long readDelayMillis,
    int loseAnswers,
    int retainedRecords) {
  /** No faults. */
  public static final LogFaults NONE = new LogFaults(false, 0, 0, 0, Integer.MAX_VALUE);

  /**
   * Returns a copy that is down or not.
   *
   * @param d whether every request fails
   * @return the copy
   */
  public LogFaults withDown(boolean d) {
    return new LogFaults(d, appendDelayMillis, readDelayMillis, loseAnswers, retainedRecords);
  }

  /**
   * Returns a copy with other delays.
   *
   * @param appendMillis time of an append, in milliseconds
   * @param readMillis time of a read, in milliseconds
   * @return the copy
   */
  public LogFaults withDelays(long appendMillis, long readMillis) {
    return new LogFaults(down, appendMillis, readMillis, loseAnswers, retainedRecords);
  }

  /**
   * Returns a copy that loses answers.
   *
   * @param n number of coming appends whose answer is lost
   * @return the copy
   */
  public LogFaults withLoseAnswers(int n) {
    return new LogFaults(down, appendDelayMillis, readDelayMillis, n, retainedRecords);
  }

  /**
   * Returns a copy with another retention.
   *
   * @param n records that each stream keeps
   * @return the copy
   */
  public LogFaults withRetainedRecords(int n) {
    return new LogFaults(down, appendDelayMillis, readDelayMillis, loseAnswers, n);
  }
}
