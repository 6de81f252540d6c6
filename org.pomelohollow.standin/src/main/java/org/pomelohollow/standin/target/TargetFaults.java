package org.pomelohollow.standin.target;

/**
 * Faults that are injected into a target.
 *
 * @param slowdown factor by which the service time is multiplied
 * @param shedsAll whether it refuses every request with status 503 and the verdict {@code not-run}
 * @param crashesOnMark whether a request with the mark {@code crash} makes the target crash
 * @param truncatesResponses whether responses with a body length set by the request break off
 *     half-way
 * @param silent whether it stops sending announcements
 * @param reportedLoad load that it announces, 0 to 1; a negative value announces the actual load
 */
public record TargetFaults(
    double slowdown,
    boolean shedsAll,
    boolean crashesOnMark,
    boolean truncatesResponses,
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
    return new TargetFaults(
        factor, shedsAll, crashesOnMark, truncatesResponses, silent, reportedLoad);
  }

  /**
   * Returns a copy that refuses every request or none.
   *
   * @param shed whether it refuses every request
   * @return the copy
   */
  public TargetFaults withShedsAll(boolean shed) {
    return new TargetFaults(
        slowdown, shed, crashesOnMark, truncatesResponses, silent, reportedLoad);
  }

  /**
   * Returns a copy that truncates responses or not.
   *
   * @param c whether responses break off half-way
   * @return the copy
   */
  public TargetFaults withTruncatedResponses(boolean c) {
    return new TargetFaults(slowdown, shedsAll, crashesOnMark, c, silent, reportedLoad);
  }

  /**
   * Returns a copy that sends announcements or not.
   *
   * @param s whether it stops sending announcements
   * @return the copy
   */
  public TargetFaults withSilent(boolean s) {
    return new TargetFaults(slowdown, shedsAll, crashesOnMark, truncatesResponses, s, reportedLoad);
  }
}
