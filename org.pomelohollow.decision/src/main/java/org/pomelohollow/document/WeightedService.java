package org.pomelohollow.document;

import java.util.Objects;
import org.pomelohollow.model.ServiceId;

/**
 * A service of a route and its share of the requests.
 *
 * @param service the service
 * @param weight share relative to the other services of the route, 0 or more
 */
public record WeightedService(ServiceId service, double weight) {
  /** Creates a share after checking the range of the weight. */
  public WeightedService {
    Objects.requireNonNull(service, "service");
    Ranges.check("weight", weight, 0, AccountEntry.MAX_RATE);
  }
}
