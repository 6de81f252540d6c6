package org.pomelohollow.decision.attempt;

import java.util.HashMap;
import java.util.Map;
import org.pomelohollow.model.ServiceId;

/**
 * Bounds the extra attempts of all requests to a service by a share of those that succeeded, so
 * that an outage is not multiplied.
 */
public final class RetryBudgets {
  private final double ratio;
  private final double capacity;
  private final Map<ServiceId, Double> tokens = new HashMap<>();

  /**
   * Creates full budgets.
   *
   * @param ratio extra attempts per successful request, 0 to 1
   * @param capacity most extra attempts at once
   */
  public RetryBudgets(double ratio, double capacity) {
    this.ratio = ratio;
    this.capacity = capacity;
  }

  /**
   * Notes that a request succeeded.
   *
   * @param service its service
   */
  public void succeeded(ServiceId service) {
    tokens.computeIfPresent(service, (s, t) -> Math.min(capacity, t + ratio));
  }

  /**
   * Takes one extra attempt.
   *
   * @param service the service
   * @return false if the service's budget is used up
   */
  public boolean spend(ServiceId service) {
    double t = tokens.getOrDefault(service, capacity);
    if (t < 1) {
      return false;
    }
    tokens.put(service, t - 1);
    return true;
  }

  /** Returns what is left per service, for services that spent any. */
  public Map<ServiceId, Double> left() {
    return Map.copyOf(tokens);
  }
}
