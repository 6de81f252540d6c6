package org.pomelohollow.daemon.internal.io;

/**
 * Bounds the log lines of one kind by a token bucket, so that their volume stays small under load.
 * Lines beyond it are counted.
 */
public final class LineBudget {
  /**
   * Enough lines to have examples of each kind; an overloaded service refuses hundreds per second.
   */
  private static final double LINES_PER_SECOND = 20;

  private static final double BURST_LINES = 100;
  private static final double NANOS_PER_SECOND = 1e9;

  private double availableLines = BURST_LINES;
  private long refilledNanos;
  private long droppedLines;

  /**
   * Spends one line if there is one left; counts a dropped line otherwise.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the line may be written
   */
  public boolean trySpend(long nowNanos) {
    double elapsedSeconds = (nowNanos - refilledNanos) / NANOS_PER_SECOND;
    availableLines = Math.min(BURST_LINES, availableLines + elapsedSeconds * LINES_PER_SECOND);
    refilledNanos = nowNanos;
    if (availableLines < 1) {
      droppedLines++;
      return false;
    }
    availableLines--;
    return true;
  }

  /** Returns the number of lines dropped since this method was last called. */
  public long takeDropped() {
    long n = droppedLines;
    droppedLines = 0;
    return n;
  }
}
