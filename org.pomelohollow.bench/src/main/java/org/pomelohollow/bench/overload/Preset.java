package org.pomelohollow.bench.overload;

import java.util.List;

/**
 * A service at the scale of this machine. Its proportions are those of a deployment; service times
 * are stretched so that its capacity fits beside the load in one process.
 *
 * @param name name of the preset
 * @param service service that is called
 * @param targets number of targets, one in each zone in turn
 * @param slots slots of a target
 * @param serviceTimeMillis mean service time, in milliseconds
 */
public record Preset(
    String name, String service, int targets, int slots, double serviceTimeMillis) {
  /** Zones of every preset. */
  static final List<String> ZONES = List.of("a", "b", "c");

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Durmientes del Valle: reservas, with 3 targets of many slots. */
  public static final Preset DURMIENTES = new Preset("durmientes", "reservas", 3, 30, 120);

  /** Blue Mahoe Feather Works: orderbook, with 3 targets of few slots. */
  public static final Preset BLUE_MAHOE = new Preset("blue-mahoe", "orderbook", 3, 8, 40);

  /** Returns what all targets together can serve, in requests per second. */
  public double capacity() {
    return targets * slots / serviceTimeMillis * MILLIS_PER_SECOND;
  }

  String zone(int i) {
    return ZONES.get(i % ZONES.size());
  }
}
