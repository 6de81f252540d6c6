package org.pomelohollow.decision.rollout;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.ServiceId;

/**
 * State of an order that a member knows.
 *
 * @param service the service
 * @param orderId identity of the order
 * @param state the state; {@link RolloutState#RUNNING} says that the sender has read that there is
 *     no final one
 * @param stored whether the store has the state, so that it stands
 * @param elapsedMillis time since the order, as far as the sender knows, in milliseconds
 */
public record RolloutVerdict(
    ServiceId service, String orderId, RolloutState state, boolean stored, long elapsedMillis)
    implements PeerMessage {
  /** Checks the fields. */
  public RolloutVerdict {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(orderId, "orderId");
    Objects.requireNonNull(state, "state");
  }
}
