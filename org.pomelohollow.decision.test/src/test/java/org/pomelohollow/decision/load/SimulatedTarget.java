package org.pomelohollow.decision.load;

import java.util.ArrayList;
import java.util.List;

/**
 * Target that serves as many jobs at full speed as it has slots; more share the slots, at a loss.
 */
public final class SimulatedTarget {
  private final int slots;
  private final double penalty;
  private final List<Job> jobs = new ArrayList<>();
  private double slowness = 1;
  private boolean cold;
  private int coldSlots;
  private int coldJobs;
  private int completed;
  private int overAdmitted;

  /**
   * @param slots jobs that it serves at full speed
   * @param penalty share of the throughput lost per multiple of the slots above the first
   */
  public SimulatedTarget(int slots, double penalty) {
    this.slots = slots;
    this.penalty = penalty;
  }

  /** Makes every job take a multiple of its time. */
  public void setSlowness(double factor) {
    slowness = factor;
  }

  /** Turns cold: bears {@code coldSlots} jobs and one more for each {@code jobs} completed. */
  public void startCold(int bearableSlots, int jobsPerSlot) {
    cold = true;
    coldSlots = bearableSlots;
    coldJobs = jobsPerSlot;
    completed = 0;
  }

  /** Ends the cold start. */
  public void endCold() {
    cold = false;
  }

  public boolean isCold() {
    return cold;
  }

  /** Returns how often a job arrived while all that the cold target bears was there. */
  public int overAdmitted() {
    return overAdmitted;
  }

  public int inFlight() {
    return jobs.size();
  }

  /** Starts a job. */
  public Job start(double workNanos, Runnable done) {
    Job j = new Job(workNanos, done);
    jobs.add(j);
    if (cold && jobs.size() > coldSlots + completed / coldJobs) {
      overAdmitted++;
    }
    return j;
  }

  /** Ends a job that is cancelled, or waits for something else and has just got it. */
  public void remove(Job j) {
    jobs.remove(j);
  }

  /** Drops all jobs, as a crash does. */
  public List<Job> crash() {
    List<Job> out = List.copyOf(jobs);
    jobs.clear();
    return out;
  }

  /** Lets time pass. */
  public void advance(double nanos) {
    long active = jobs.stream().filter(j -> !j.parked).count();
    double over = Math.max(1, active / (double) slots);
    double speed = 1 / (over * (1 + penalty * (over - 1)) * slowness);
    List<Job> ended = new ArrayList<>();
    for (Job j : jobs) {
      if (!j.parked) {
        j.workNanos -= nanos * speed;
        if (j.workNanos <= 0) {
          ended.add(j);
        }
      }
    }
    for (Job j : ended) {
      completed++;
      j.parked = true;
      j.done.run();
    }
  }

  /** A job at the target; parked once its own work is done, until it is removed. */
  public static final class Job {
    private final Runnable done;
    private double workNanos;
    private boolean parked;

    private Job(double workNanos, Runnable done) {
      this.workNanos = workNanos;
      this.done = done;
    }
  }
}
