package org.pomelohollow.decision.rollout;

import java.util.Objects;
import org.pomelohollow.document.RolloutOrder;
import org.pomelohollow.model.ServiceId;

/**
 * State of an order as it is kept in the platform's store.
 *
 * @param service the service
 * @param orderId identity of the order; empty if the record names none
 * @param version version that was ordered
 * @param state state of the order
 */
public record RolloutStatus(ServiceId service, String orderId, String version, RolloutState state) {
  /** Checks the fields. */
  public RolloutStatus {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(orderId, "orderId");
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(state, "state");
  }

  /**
   * Returns the status of an order.
   *
   * @param o the order
   * @param state its state
   * @return the status
   */
  public static RolloutStatus of(RolloutOrder o, RolloutState state) {
    return new RolloutStatus(o.service(), o.id(), o.version(), state);
  }

  /**
   * Returns whether this is the status of an order.
   *
   * @param o the order
   * @return true if service and identity are equal
   */
  public boolean isOf(RolloutOrder o) {
    return service.equals(o.service()) && orderId.equals(o.id());
  }
}
