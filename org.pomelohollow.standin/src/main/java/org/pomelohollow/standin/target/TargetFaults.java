package org.pomelohollow.standin.target;

/**
 * Faults that are injected into a target.
 *
 * @param slowdown factor by which the service time is multiplied
 * @param sheds whether it refuses every request with status 503 and the verdict {@code not-run}
 * @param crashesOnMark whether a request with the mark {@code crash} makes the target crash
 * @param cutsAnswers whether responses with a body length set by the request break off half-way
 * @param silent whether it stops sending announcements
 * @param reportedLoad load that it announces, 0 to 1; a negative value announces the actual load
 */
public record TargetFaults(
    double slowdown,
    boolean sheds,
    boolean crashesOnMark,
    boolean cutsAnswers,
    boolean silent,
    double reportedLoad) {
  /** No faults. */
  public static final TargetFaults NONE = new TargetFaults(1, false, true, false, false, -1);

  /**
   * Returns a copy that is slower.
   *
   * @param factor factor by which the service time is multiplied
   * @return the copy
   */
  public TargetFaults withSlowdown(double factor) {
    return new TargetFaults(factor, sheds, crashesOnMark, cutsAnswers, silent, reportedLoad);
  }

  /**
   * Returns a copy that refuses every request or none.
   *
   * @param s whether it refuses every request
   * @return the copy
   */
  public TargetFaults withSheds(boolean s) {
    return new TargetFaults(slowdown, s, crashesOnMark, cutsAnswers, silent, reportedLoad);
  }

  /**
   * Returns a copy that truncates responses or not.
   *
   * @param c whether responses break off half-way
   * @return the copy
   */
  public TargetFaults withCutsAnswers(boolean c) {
    return new TargetFaults(slowdown, sheds, crashesOnMark, c, silent, reportedLoad);
  }

  /**
   * Returns a copy that sends announcements or not.
   *
   * @param s whether it stops sending announcements
   * @return the copy
   */
  public TargetFaults withSilent(boolean s) {
    return new TargetFaults(slowdown, sheds, crashesOnMark, cutsAnswers, s, reportedLoad);
  }
}
