package org.pomelohollow.document;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * A service and the bounds of each of its targets.
 *
 * @param id name
 * @param slots most requests in flight at one target
 * @param connections most connections to one target
 * @param coldStartSlots most requests in flight at a target in cold start
 * @param zones zones that its targets are expected in, empty if any; only checked, not enforced
 * @param coldRate requests that a cold target bears, where the operator states a rate in place of
 *     slots
 */
public record ServiceEntry(
    ServiceId id,
    int slots,
    int connections,
    int coldStartSlots,
    Set<ZoneId> zones,
    Optional<ColdRate> coldRate) {
  /** Highest bound per target. */
  public static final int MAX_SLOTS = 100_000;

  /** Checks the ranges. */
  public ServiceEntry {
    Objects.requireNonNull(id, "id");
    Ranges.check("slots", slots, 1, MAX_SLOTS);
    Ranges.check("connections", connections, 1, MAX_SLOTS);
    Ranges.check("cold_start_slots", coldStartSlots, 1, slots);
    zones = Set.copyOf(zones);
    Objects.requireNonNull(coldRate, "coldRate");
  }

  /**
   * Creates a service whose cold targets are bounded by slots.
   *
   * @param id name
   * @param slots most requests in flight at one target
   * @param connections most connections to one target
   * @param coldStartSlots most requests in flight at a target in cold start
   * @param zones zones that its targets are expected in, empty if any
   */
  public ServiceEntry(
      ServiceId id, int slots, int connections, int coldStartSlots, Set<ZoneId> zones) {
    this(id, slots, connections, coldStartSlots, zones, Optional.empty());
  }

  /**
   * Creates a service whose targets may be in any zone.
   *
   * @param id name
   * @param slots most requests in flight at one target
   * @param connections most connections to one target
   * @param coldStartSlots most requests in flight at a target in cold start
   */
  public ServiceEntry(ServiceId id, int slots, int connections, int coldStartSlots) {
    this(id, slots, connections, coldStartSlots, Set.of());
  }
}
