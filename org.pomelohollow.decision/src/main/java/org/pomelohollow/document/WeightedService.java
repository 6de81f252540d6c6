package org.pomelohollow.document;

import java.util.Objects;
import org.pomelohollow.model.ServiceId;

/**
 * A service's share of the requests of a route.
 *
 * @param service the service
 * @param weight share relative to the other services of the route, 0 or more
 */
public record WeightedService(ServiceId service, double weight) {
  /** Checks the fields. */
  public WeightedService {
    Objects.requireNonNull(service, "service");
    Ranges.check("weight", weight, 0, AccountEntry.MAX_RATE);
  }
}
