package org.pomelohollow.decision.fairness;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Max-min fair division of a capacity between demands with weights, by progressive filling
 * (Bertsekas and Gallager, Data Networks, 2nd edition, section 6.5.2). Each demand gets at most the
 * level times its weight, and the level is the one at which the capacity is used up.
 */
final class MaxMinLevel {
  private final double[] demandPerWeight;
  private final double[] demands;
  private final double[] weights;
  private final double total;
  private final double totalWeight;

  /**
   * Creates a division of a list of demands.
   *
   * @param shares the demands and their weights
   */
  MaxMinLevel(List<Share> shares) {
    Share[] sorted = shares.toArray(Share[]::new);
    Arrays.sort(sorted, Comparator.comparingDouble(s -> s.demand() / s.weight()));
    demandPerWeight = Arrays.stream(sorted).mapToDouble(s -> s.demand() / s.weight()).toArray();
    demands = Arrays.stream(sorted).mapToDouble(Share::demand).toArray();
    weights = Arrays.stream(sorted).mapToDouble(Share::weight).toArray();
    total = Arrays.stream(demands).sum();
    totalWeight = Arrays.stream(weights).sum();
  }

  /** Returns the sum of all demands. */
  double total() {
    return total;
  }

  /**
   * Returns the level for each unit of weight.
   *
   * @param capacity capacity to divide, in the unit of the demands
   * @return the level, infinite if the capacity covers all demands
   */
  double level(double capacity) {
    double left = capacity;
    double weightLeft = totalWeight;
    for (int i = 0; i < demands.length; i++) {
      if (demandPerWeight[i] * weightLeft > left) {
        return Math.max(0, left) / weightLeft;
      }
      left -= demands[i];
      weightLeft -= weights[i];
    }
    return Double.POSITIVE_INFINITY;
  }

  /**
   * A demand.
   *
   * @param demand amount, at least 0
   * @param weight weight, above 0
   */
  record Share(double demand, double weight) {}
}
