package org.pomelohollow.decision.fairness;

import java.util.List;
import java.util.Objects;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.ServiceId;

/**
 * Demand of the whole fleet at a service, the reply of the service's home to a {@link
 * DemandReport}.
 *
 * @param service the service
 * @param ranks demand of all accounts by priority
 * @param demands requests per second of the largest accounts and of those that the report named
 */
public record DemandSummary(ServiceId service, List<RankDemand> ranks, List<AccountDemand> demands)
    implements PeerMessage {
  /** Copies the lists. */
  public DemandSummary {
    Objects.requireNonNull(service, "service");
    ranks = List.copyOf(ranks);
    demands = List.copyOf(demands);
  }
}
