package org.pomelohollow.junit;

import java.util.List;
import java.util.Map;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/** Creates small configurations for tests. */
public final class Configurations {
  private Configurations() {}

  /**
   * Creates a configuration of one service in one availability zone, without accounts and routes.
   *
   * @param service the service
   * @param zone the availability zone, which is in service
   * @param slots slots of each target; also its limit of connections and its cold-start slots
   * @return the configuration, with version 1
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
