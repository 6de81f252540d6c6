package org.pomelohollow.standin.target;

/**
 * Faults of a target.
 *
 * @param slowdown factor on the service time
 * @param sheds whether it refuses every request in the form of the contract
 * @param crashesOnMark whether a request with the mark {@code crash} ends the target
 * @param cutsAnswers whether answers break off half-way
 * @param silent whether announcements stop
 * @param reportedLoad load in the announcements, 0 to 1; below 0 reports the true one
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
   * @param factor factor on the service time
   * @return the copy
   */
  public TargetFaults withSlowdown(double factor) {
    return new TargetFaults(factor, sheds, crashesOnMark, cutsAnswers, silent, reportedLoad);
  }

  /**
   * Returns a copy that sheds or not.
   *
   * @param s whether it refuses every request
   * @return the copy
   */
  public TargetFaults withSheds(boolean s) {
    return new TargetFaults(slowdown, s, crashesOnMark, cutsAnswers, silent, reportedLoad);
  }

  /**
   * Returns a copy that cuts answers or not.
   *
   * @param c whether answers break off
   * @return the copy
   */
  public TargetFaults withCutsAnswers(boolean c) {
    return new TargetFaults(slowdown, sheds, crashesOnMark, c, silent, reportedLoad);
  }

  /**
   * Returns a copy that is silent or not.
   *
   * @param s whether announcements stop
   * @return the copy
   */
  public TargetFaults withSilent(boolean s) {
    return new TargetFaults(slowdown, sheds, crashesOnMark, cutsAnswers, s, reportedLoad);
  }
}
