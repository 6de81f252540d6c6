package org.pomelohollow.decision.attempt;

import java.util.HashMap;
import java.util.Map;
import org.pomelohollow.model.ServiceId;

/**
 * Retry budgets per service: bounds the retries to a service to a share of its successful requests,
 * so that retries don't multiply the load during an outage.
 */
public final class RetryBudgets {
  private final double ratio;
  private final double capacity;
  private final Map<ServiceId, Double> tokens = new HashMap<>();

  /**
   * Creates budgets, initially full.
   *
   * @param ratio retries gained per successful request, 0 to 1
   * @param capacity maximum number of accumulated retries
   */
  public RetryBudgets(double ratio, double capacity) {
    this.ratio = ratio;
    this.capacity = capacity;
  }

  /**
   * Records a successful request.
   *
   * @param service the service of the request
   */
  public void recordSuccess(ServiceId service) {
    tokens.computeIfPresent(service, (s, t) -> Math.min(capacity, t + ratio));
  }

  /**
   * Spends one retry from a service's budget.
   *
   * @param service the service
   * @return false if the budget is exhausted
   */
  public boolean trySpend(ServiceId service) {
    double available = tokens.getOrDefault(service, capacity);
    if (available < 1) {
      return false;
    }
    tokens.put(service, available - 1);
    return true;
  }

  /** Returns the remaining retries of each service that has spent any. */
  public Map<ServiceId, Double> remaining() {
    return Map.copyOf(tokens);
  }
}
