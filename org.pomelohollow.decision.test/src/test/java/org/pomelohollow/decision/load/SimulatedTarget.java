package org.pomelohollow.decision.load;

import java.util.ArrayList;
import java.util.List;

/**
 * Target that runs as many jobs at full speed as it has slots. With more jobs than slots, the jobs
 * share the slots and the throughput falls.
 */
public final class SimulatedTarget {
  private final int slots;
  private final double overloadPenalty;
  private final List<Job> jobs = new ArrayList<>();
  private double slowdown = 1;
  private boolean cold;
  private int initialColdSlots;
  private int jobsPerColdSlot;
  private int completedJobs;
  private int overAdmitted;

  /**
   * @param slots number of jobs that run at full speed
   * @param overloadPenalty share by which jobs take longer, in addition to sharing the slots, for
   *     each multiple of the slots above the first
   */
  public SimulatedTarget(int slots, double overloadPenalty) {
    this.slots = slots;
    this.overloadPenalty = overloadPenalty;
  }

  /** Multiplies the duration of every job by a factor. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /**
   * Starts a cold start, in which the target can run {@code initialSlots} jobs and one more for
   * each {@code jobsPerSlot} completed jobs.
   */
  public void startCold(int initialSlots, int jobsPerSlot) {
    cold = true;
    initialColdSlots = initialSlots;
    jobsPerColdSlot = jobsPerSlot;
    completedJobs = 0;
  }

  /** Ends the cold start. */
  public void endCold() {
    cold = false;
  }

  public boolean isCold() {
    return cold;
  }

  /** Returns how many jobs were started beyond what the target can run in its cold start. */
  public int overAdmitted() {
    return overAdmitted;
  }

  int slots() {
    return slots;
  }

  double slowdown() {
    return slowdown;
  }

  public int inFlight() {
    return jobs.size();
  }

  /** Starts a job. */
  public Job startJob(double workNanos, Runnable onWorkDone) {
    Job j = new Job(workNanos, onWorkDone);
    jobs.add(j);
    if (cold && jobs.size() > initialColdSlots + completedJobs / jobsPerColdSlot) {
      overAdmitted++;
    }
    return j;
  }

  /** Removes a job that was cancelled, or whose call to another service has ended. */
  public void removeJob(Job j) {
    jobs.remove(j);
  }

  /** Removes and returns all jobs, as when the target crashes. */
  public List<Job> crash() {
    List<Job> out = List.copyOf(jobs);
    jobs.clear();
    return out;
  }

  /** Advances the work of the jobs by a time in nanoseconds. */
  public void advance(double nanos) {
    long active = jobs.stream().filter(j -> !j.workDone).count();
    double load = Math.max(1, active / (double) slots);
    double speed = 1 / (load * (1 + overloadPenalty * (load - 1)) * slowdown);
    List<Job> ended = new ArrayList<>();
    for (Job j : jobs) {
      if (!j.workDone) {
        j.remainingWorkNanos -= nanos * speed;
        if (j.remainingWorkNanos <= 0) {
          ended.add(j);
        }
      }
    }
    for (Job j : ended) {
      completedJobs++;
      j.workDone = true;
      j.onWorkDone.run();
    }
  }

  /** A job at the target. It takes no slot from the end of its own work until it is removed. */
  public static final class Job {
    private final Runnable onWorkDone;
    private double remainingWorkNanos;
    private boolean workDone;

    private Job(double workNanos, Runnable onWorkDone) {
      this.remainingWorkNanos = workNanos;
      this.onWorkDone = onWorkDone;
    }
  }
}
