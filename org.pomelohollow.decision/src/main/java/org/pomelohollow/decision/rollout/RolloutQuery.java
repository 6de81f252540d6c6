package org.pomelohollow.decision.rollout;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.ServiceId;

/**
 * Asks a member for the state of an order. A member that knows it replies with a {@link
 * RolloutVerdict}.
 *
 * @param service the service
 * @param orderId identity of the order
 */
public record RolloutQuery(ServiceId service, String orderId) implements PeerMessage {
  /** Checks the fields. */
  public RolloutQuery {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(orderId, "orderId");
  }
}
