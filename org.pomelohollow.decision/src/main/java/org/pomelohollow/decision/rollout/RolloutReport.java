package org.pomelohollow.decision.rollout;

import java.util.List;
import java.util.Objects;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.ServiceId;

/**
 * Totals of one target since an order, which its daemon sends to the evaluators. They are
 * cumulative, so that a lost message loses nothing.
 *
 * @param service service of the target
 * @param orderId identity of the order
 * @param version version of the target, empty if it names none
 * @param sequence rises with each report of a daemon
 * @param inFlight number of requests that run at the target or wait for it
 * @param limit limit of the requests in flight
 * @param routes totals by route
 */
public record RolloutReport(
    ServiceId service,
    String orderId,
    String version,
    long sequence,
    int inFlight,
    int limit,
    List<RouteTotals> routes)
    implements PeerMessage {
  /** Copies the list. */
  public RolloutReport {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(orderId, "orderId");
    Objects.requireNonNull(version, "version");
    routes = List.copyOf(routes);
  }

  /** Returns the number of requests that have ended. */
  long responses() {
    return routes.stream().mapToLong(RouteTotals::responses).sum();
  }
}
