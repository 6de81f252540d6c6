package org.pomelohollow.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import org.pomelohollow.decision.routing.ZoneSpill;
import org.pomelohollow.model.ServiceId;

class DaemonMetricsTest {
  /** Guards against attempts to other zones that operators cannot see by service. */
  @Example
  void attemptsToOtherZonesAreCountedByService() {
    ZoneSpill zones = new ZoneSpill(new SplittableRandom(1), e -> {});
    try (DaemonMetrics metrics = new DaemonMetrics()) {
      metrics.registerSentOutside(zones);
      zones.recordSentOutside(new ServiceId("menu"), 0);
      metrics.registerSentOutside(zones);
      zones.recordSentOutside(new ServiceId("menu"), 0);
      String scrape = metrics.registry().scrape();
      assertTrue(
          scrape.contains("pomelohollow_zone_sent_outside_total{service=\"menu\"} 2.0"), scrape);
    }
  }
}
