package org.pomelohollow.decision.config;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;

class ConfigFoldTest {
  @Property(seed = "4101", tries = 1500, shrinking = ShrinkingMode.OFF)
  void daemonsThatStartAnywhereAcceptTheSameDocuments(@ForAll Random random) {
    ConfigFoldSimulation simulation = new ConfigFoldSimulation(random);
    for (int i = 0; i < 400; i++) {
      simulation.step();
    }
    simulation.converge();
    Statistics.label("some fold is complete").collect(simulation.isAnyFoldComplete());
    Statistics.label("versions").collect(Math.min(simulation.version() / 4 * 4, 20));
  }
}
