package org.pomelohollow.standin.target;

import java.util.HashMap;
import java.util.Map;

/** What a target has seen. Thread-safe. */
public final class TargetCounts {
  private final Map<String, Integer> runsByMark = new HashMap<>();
  private long started;
  private long completed;
  private long cancelled;
  private long refused;
  private int running;
  private int mostRunning;
  private int mostRunningCold;
  private long busyNanos;
  private long wastedNanos;
  private boolean sawKey;

  synchronized int start(boolean cold) {
    started++;
    running++;
    mostRunning = Math.max(mostRunning, running);
    if (cold) {
      mostRunningCold = Math.max(mostRunningCold, running);
    }
    return running;
  }

  synchronized void mark(String mark) {
    runsByMark.merge(mark, 1, Integer::sum);
  }

  synchronized void complete(long nanos) {
    running--;
    completed++;
    busyNanos += nanos;
  }

  synchronized void cancel(long nanos) {
    running--;
    cancelled++;
    busyNanos += nanos;
    wastedNanos += nanos;
  }

  synchronized void refuse() {
    refused++;
  }

  synchronized void seeKey() {
    sawKey = true;
  }

  /** Returns requests that were started. */
  public synchronized long started() {
    return started;
  }

  /** Returns requests that were answered in full. */
  public synchronized long completed() {
    return completed;
  }

  /** Returns requests whose caller left while they ran. */
  public synchronized long cancelled() {
    return cancelled;
  }

  /** Returns requests that the target refused. */
  public synchronized long refused() {
    return refused;
  }

  /** Returns requests that run now. */
  public synchronized int running() {
    return running;
  }

  /** Returns the most requests that ran at once. */
  public synchronized int mostRunning() {
    return mostRunning;
  }

  /** Returns the most requests that ran at once while the target was cold. */
  public synchronized int mostRunningCold() {
    return mostRunningCold;
  }

  /** Returns the time spent on requests, in nanoseconds. */
  public synchronized long busyNanos() {
    return busyNanos;
  }

  /** Returns the time spent on requests that were cancelled, in nanoseconds. */
  public synchronized long wastedNanos() {
    return wastedNanos;
  }

  /** Returns whether a request carried a caller's key. */
  public synchronized boolean sawKey() {
    return sawKey;
  }

  /**
   * Returns how often requests with a mark were run.
   *
   * @param mark value of the header {@link TargetStandIn#MARK_HEADER}
   * @return runs
   */
  public synchronized int runs(String mark) {
    return runsByMark.getOrDefault(mark, 0);
  }

  /** Returns the greatest number of runs of one mark, 0 if there is none. */
  public synchronized int mostRunsOfOneMark() {
    return runsByMark.values().stream().mapToInt(i -> i).max().orElse(0);
  }

  /** Returns the number of runs of all marks. */
  public synchronized int runsOfMarks() {
    return runsByMark.values().stream().mapToInt(i -> i).sum();
  }

  /** Returns the counts as lines of name and value. */
  public synchronized String describe() {
    return "started "
        + started
        + "\ncompleted "
        + completed
        + "\ncancelled "
        + cancelled
        + "\nrefused "
        + refused
        + "\nrunning "
        + running
        + "\nmost_running "
        + mostRunning
        + "\nmost_running_cold "
        + mostRunningCold
        + "\nbusy_nanos "
        + busyNanos
        + "\nwasted_nanos "
        + wastedNanos
        + "\nsaw_key "
        + sawKey
        + "\nmost_runs_of_one_mark "
        + mostRunsOfOneMark()
        + "\nruns_of_marks "
        + runsOfMarks()
        + "\n";
  }
}
