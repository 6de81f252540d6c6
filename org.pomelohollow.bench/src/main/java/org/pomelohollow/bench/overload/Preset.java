package org.pomelohollow.bench.overload;

import java.util.List;

/**
 * A service scaled to one machine. The proportions are those of a deployment; service times are
 * lengthened so that targets, daemons and load generator fit into one process.
 *
 * @param name name of the preset
 * @param service service that receives the requests
 * @param targets number of targets, assigned to the zones in rotation
 * @param slots slots of each target
 * @param serviceTimeMillis mean service time, in milliseconds
 */
public record Preset(
    String name, String service, int targets, int slots, double serviceTimeMillis) {
  /** Availability zones of every preset. */
  static final List<String> ZONES = List.of("a", "b", "c");

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Durmientes del Valle: reservas, with 3 targets of many slots. */
  public static final Preset DURMIENTES = new Preset("durmientes", "reservas", 3, 30, 120);

  /** Blue Mahoe Feather Works: orderbook, with 3 targets of few slots. */
  public static final Preset BLUE_MAHOE = new Preset("blue-mahoe", "orderbook", 3, 8, 40);

  /** Returns the capacity of all targets together, in requests per second. */
  public double capacity() {
    return targets * slots / serviceTimeMillis * MILLIS_PER_SECOND;
  }

  String zone(int i) {
    return ZONES.get(i % ZONES.size());
  }
}
