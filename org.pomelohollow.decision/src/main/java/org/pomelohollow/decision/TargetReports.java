package org.pomelohollow.decision;

import java.util.Optional;

/**
 * Puts the heartbeats of the runs of a target in order. A heartbeat can arrive late, after a later
 * one, or after a new run has taken the address; a run that has said that it leaves never returns.
 */
public final class TargetReports {
  private Optional<TargetAnnouncement> run = Optional.empty();
  private long sequence;
  private boolean left;

  /**
   * Takes a heartbeat.
   *
   * @param r the heartbeat
   * @return what follows from it
   */
  public Outcome take(TargetReport r) {
    TargetAnnouncement a = r.announcement();
    if (run.filter(a::isSameRun).isPresent()) {
      if (left || r.sequence() <= sequence) {
        return Outcome.LATE;
      }
    } else if (run.filter(c -> isEarlier(a, c)).isPresent()) {
      return Outcome.LATE;
    }
    run = Optional.of(a);
    sequence = r.sequence();
    left = r.draining();
    return left ? Outcome.LEAVES : Outcome.SERVES;
  }

  /**
   * Takes the word that a target leaves without a numbered heartbeat.
   *
   * @param instance identifier of the target
   * @param startedMillis wall-clock time of its start, 0 if not named
   * @return whether that is the present run
   */
  public boolean leave(String instance, long startedMillis) {
    boolean present =
        run.filter(c -> c.instance().equals(instance))
            .filter(c -> startedMillis == 0 || startedMillis == c.startedMillis())
            .isPresent();
    left |= present;
    return present;
  }

  private static boolean isEarlier(TargetAnnouncement a, TargetAnnouncement than) {
    return a.startedMillis() != 0 && a.startedMillis() < than.startedMillis();
  }

  /** What follows from a heartbeat. */
  public enum Outcome {
    /** The target takes requests. */
    SERVES,
    /** The target gets no new work. */
    LEAVES,
    /** The heartbeat is out of date. */
    LATE
  }
}
