package org.pomelohollow.standin.target;

import java.util.HashMap;
import java.util.Map;

/** Counters of the requests that a target has received. Thread-safe. */
public final class TargetCounts {
  private final Map<String, Integer> runsByMark = new HashMap<>();
  private long started;
  private long completed;
  private long cancelled;
  private long refused;
  private int running;
  private int maxRunning;
  private int maxRunningCold;
  private long busyNanos;
  private long wastedNanos;
  private boolean sawApiKey;

  /** Records the start of a request and returns how many run now. */
  synchronized int recordStart(boolean cold) {
    started++;
    running++;
    maxRunning = Math.max(maxRunning, running);
    if (cold) {
      maxRunningCold = Math.max(maxRunningCold, running);
    }
    return running;
  }

  synchronized void recordMark(String mark) {
    runsByMark.merge(mark, 1, Integer::sum);
  }

  synchronized void recordCompletion(long nanos) {
    running--;
    completed++;
    busyNanos += nanos;
  }

  synchronized void recordCancellation(long nanos) {
    running--;
    cancelled++;
    busyNanos += nanos;
    wastedNanos += nanos;
  }

  synchronized void recordRefusal() {
    refused++;
  }

  synchronized void recordApiKey() {
    sawApiKey = true;
  }

  /** Returns the number of requests that were started. */
  public synchronized long started() {
    return started;
  }

  /** Returns the number of requests whose response was sent completely. */
  public synchronized long completed() {
    return completed;
  }

  /** Returns the number of requests that were cancelled by their caller while they ran. */
  public synchronized long cancelled() {
    return cancelled;
  }

  /** Returns the number of requests that the target refused. */
  public synchronized long refused() {
    return refused;
  }

  /** Returns the number of requests that run now. */
  public synchronized int running() {
    return running;
  }

  /** Returns the greatest number of requests that ran concurrently. */
  public synchronized int maxRunning() {
    return maxRunning;
  }

  /** Returns the greatest number of requests that ran concurrently during the cold start. */
  public synchronized int maxRunningCold() {
    return maxRunningCold;
  }

  /** Returns the time spent on requests, in nanoseconds. */
  public synchronized long busyNanos() {
    return busyNanos;
  }

  /** Returns the time spent on requests that were cancelled, in nanoseconds. */
  public synchronized long wastedNanos() {
    return wastedNanos;
  }

  /** Returns whether a request carried a caller's API key. */
  public synchronized boolean sawApiKey() {
    return sawApiKey;
  }

  /**
   * Returns how often requests with a given mark were run.
   *
   * @param mark value of the header {@link TargetStandIn#MARK_HEADER}
   * @return number of runs
   */
  public synchronized int runsOfMark(String mark) {
    return runsByMark.getOrDefault(mark, 0);
  }

  /** Returns the greatest number of runs of any one mark, 0 if no request had a mark. */
  public synchronized int maxRunsOfOneMark() {
    return runsByMark.values().stream().mapToInt(i -> i).max().orElse(0);
  }

  /** Returns the number of runs of all marked requests. */
  public synchronized int totalMarkedRuns() {
    return runsByMark.values().stream().mapToInt(i -> i).sum();
  }

  /** Returns the counters as text, one line {@code name value} each. */
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
        + maxRunning
        + "\nmost_running_cold "
        + maxRunningCold
        + "\nbusy_nanos "
        + busyNanos
        + "\nwasted_nanos "
        + wastedNanos
        + "\nsaw_key "
        + sawApiKey
        + "\nmost_runs_of_one_mark "
        + maxRunsOfOneMark()
        + "\nruns_of_marks "
        + totalMarkedRuns()
        + "\n";
  }
}
