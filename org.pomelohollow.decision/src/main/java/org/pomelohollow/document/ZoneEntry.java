package org.pomelohollow.document;

import java.util.Objects;
import org.pomelohollow.model.ZoneId;

/**
 * An availability zone and whether it is in service.
 *
 * @param id name of the zone
 * @param region region that the zone lies in
 * @param inService false while operators have taken the zone out of service
 */
public record ZoneEntry(ZoneId id, String region, boolean inService) {
  /** Creates a zone; no component may be null. */
  public ZoneEntry {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(region, "region");
  }
}
