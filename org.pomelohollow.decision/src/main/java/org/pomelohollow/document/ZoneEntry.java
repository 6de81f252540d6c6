package org.pomelohollow.document;

import java.util.Objects;
import org.pomelohollow.model.ZoneId;

/**
 * An availability zone.
 *
 * @param id name
 * @param region region that the zone lies in
 * @param inService false while operators have taken it out of service
 */
public record ZoneEntry(ZoneId id, String region, boolean inService) {
  /** Checks the fields. */
  public ZoneEntry {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(region, "region");
  }
}
