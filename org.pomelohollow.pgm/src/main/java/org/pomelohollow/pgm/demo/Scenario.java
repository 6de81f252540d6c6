package org.pomelohollow.pgm.demo;

import java.util.List;

/** A part of the demo. */
interface Scenario {
  /** Returns a line for the progress. */
  String title();

  /**
   * Drives the fleet.
   *
   * @param fleet the running fleet
   * @return what was seen
   * @throws InterruptedException if the demo is stopped
   */
  List<Check> run(DemoFleet fleet) throws InterruptedException;
}
