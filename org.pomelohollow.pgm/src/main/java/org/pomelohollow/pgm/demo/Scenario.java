package org.pomelohollow.pgm.demo;

import java.util.List;

/** A part of the demo, which acts on the fleet and checks the effect. */
interface Scenario {
  /** Returns the title that is printed as progress. */
  String title();

  /**
   * Runs the scenario and restores the hosts and the document that it changed.
   *
   * @param fleet the running fleet
   * @return the results of its checks
   * @throws InterruptedException if the thread is interrupted
   */
  List<CheckResult> run(DemoFleet fleet) throws InterruptedException;
}
