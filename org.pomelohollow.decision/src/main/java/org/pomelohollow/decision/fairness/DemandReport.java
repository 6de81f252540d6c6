package org.pomelohollow.decision.fairness;

import java.util.List;
import java.util.Objects;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.ServiceId;

/**
 * Requests that an entry daemon received for a service since its last report, sent to the service's
 * home.
 *
 * @param service the service
 * @param demands numbers of requests by account and priority, at most {@link #MAX_DEMANDS}
 */
public record DemandReport(ServiceId service, List<AccountDemand> demands) implements PeerMessage {
  /** Maximum number of demands in a report. */
  public static final int MAX_DEMANDS = 16;

  /** Copies the list. */
  public DemandReport {
    Objects.requireNonNull(service, "service");
    demands = List.copyOf(demands);
    if (demands.size() > MAX_DEMANDS) {
      throw new IllegalArgumentException("too many demands in a report: " + demands.size());
    }
  }
}
