package org.pomelohollow.decision.config;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;

class ConfigFoldTest {
  @Property(seed = "4101", tries = 1500, shrinking = ShrinkingMode.OFF)
  void daemonsThatStartAnywhereAcceptTheSameDocuments(@ForAll Random random) {
    FoldWorld w = new FoldWorld(random);
    for (int i = 0; i < 400; i++) {
      w.step();
    }
    w.settle();
    Statistics.label("some fold is complete").collect(w.isAnyComplete());
    Statistics.label("versions").collect(Math.min(w.version() / 4 * 4, 20));
  }
}
