package org.pomelohollow.decision.load;

import java.util.Map;
import java.util.TreeMap;
import org.pomelohollow.model.ZoneId;

/** Links between availability zones: their delay, their faults and the attempts sent over them. */
public final class SimulatedZoneLinks {
  /** Time after which an attempt over a broken link fails. */
  static final double FAILURE_MILLIS = 50;

  private static final double BIN_SECONDS = 0.25;

  /** Change of the share of attempts that leave a zone from which it counts as a turn. */
  private static final double TURN = 0.1;

  private final Map<ZoneId, Map<Integer, int[]>> attemptsByBin = new TreeMap<>();
  private double delayMillis;
  private boolean broken;

  /** Sets the time that a message takes from one zone to another, in milliseconds. */
  public void setDelayMillis(double d) {
    delayMillis = d;
  }

  /** Sets whether attempts to other zones fail. */
  public void setBroken(boolean b) {
    broken = b;
  }

  /** Returns the share of a zone's attempts from one second to another that left the zone. */
  public double shareOutside(String zone, double from, double to) {
    int all = 0;
    int outside = 0;
    for (Map.Entry<Integer, int[]> e : bins(zone).entrySet()) {
      double second = e.getKey() * BIN_SECONDS;
      if (second >= from && second < to) {
        all += e.getValue()[0];
        outside += e.getValue()[1];
      }
    }
    return outside / (double) Math.max(1, all);
  }

  /** Returns the number of attempts from all zones that left their zone. */
  public int attemptsOutside() {
    return attemptsByBin.values().stream()
        .flatMap(m -> m.values().stream())
        .mapToInt(n -> n[1])
        .sum();
  }

  /**
   * Returns how often the share of a zone's attempts that leave it turned from rising to falling or
   * back, by more than a tenth, in bins of a quarter of a second.
   */
  public int reversals(String zone) {
    int turns = 0;
    int direction = 0;
    double extreme = 0;
    for (int[] n : bins(zone).values()) {
      double share = n[1] / (double) Math.max(1, n[0]);
      int d = (int) Math.signum(share - extreme);
      if (d == direction) {
        extreme = share;
      } else if (Math.abs(share - extreme) > TURN) {
        turns += direction == 0 ? 0 : 1;
        direction = d;
        extreme = share;
      }
    }
    return turns;
  }

  double delayMillis(ZoneId from, ZoneId to) {
    return from.equals(to) ? 0 : delayMillis;
  }

  boolean isBroken(ZoneId from, ZoneId to) {
    return broken && !from.equals(to);
  }

  void recordAttempt(ZoneId from, ZoneId to, double second) {
    int[] n =
        attemptsByBin
            .computeIfAbsent(from, z -> new TreeMap<>())
            .computeIfAbsent((int) (second / BIN_SECONDS), b -> new int[2]);
    n[0]++;
    n[1] += from.equals(to) ? 0 : 1;
  }

  private Map<Integer, int[]> bins(String zone) {
    return attemptsByBin.getOrDefault(new ZoneId(zone), Map.of());
  }
}
