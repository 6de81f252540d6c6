package org.pomelohollow.junit;

import java.util.List;
import java.util.Map;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/** Small configurations for tests. */
public final class Configurations {
  private Configurations() {}

  /**
   * Makes a configuration of one service in one zone, without accounts and routes.
   *
   * @param service the service
   * @param zone the zone, in service
   * @param slots slots of each target, also its connections and its slots in cold start
   * @return the configuration, version 1
   */
  public static VersionedDocument oneService(ServiceId service, ZoneId zone, int slots) {
    Document d =
        new Document(
            "test",
            List.of("normal"),
            Map.of(zone, new ZoneEntry(zone, "region", true)),
            Map.of(),
            List.of(),
            Map.of(service, new ServiceEntry(service, slots, slots, slots)),
            List.of());
    return new VersionedDocument(1, "change", "", d);
  }
}
