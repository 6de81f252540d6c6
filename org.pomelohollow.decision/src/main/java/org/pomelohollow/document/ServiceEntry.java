package org.pomelohollow.document;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * A service and the limits of each of its targets.
 *
 * @param id name of the service
 * @param slots maximum number of requests in flight at one target
 * @param connections maximum number of connections to one target
 * @param coldStartSlots maximum number of requests in flight at a target in cold start; equal to
 *     {@code slots} if the operator does not limit cold targets
 * @param zones availability zones that its targets are expected in, empty if any; the document is
 *     checked against them, but targets elsewhere are not rejected
 * @param coldStartRate request rate of a target in cold start, if the operator limits it by a rate
 *     instead of slots
 */
public record ServiceEntry(
    ServiceId id,
    int slots,
    int connections,
    int coldStartSlots,
    Set<ZoneId> zones,
    Optional<ColdStartRate> coldStartRate) {
  /** Highest number of slots and of connections that a document may set for a target. */
  public static final int MAX_SLOTS = 100_000;

  /** Creates a service after checking the ranges. */
  public ServiceEntry {
    Objects.requireNonNull(id, "id");
    Ranges.check("slots", slots, 1, MAX_SLOTS);
    Ranges.check("connections", connections, 1, MAX_SLOTS);
    Ranges.check("cold_start_slots", coldStartSlots, 1, slots);
    zones = Set.copyOf(zones);
    Objects.requireNonNull(coldStartRate, "coldRate");
  }

  /**
   * Creates a service whose targets are limited by slots in cold start.
   *
   * @param id name of the service
   * @param slots maximum number of requests in flight at one target
   * @param connections maximum number of connections to one target
   * @param coldStartSlots maximum number of requests in flight at a target in cold start
   * @param zones availability zones that its targets are expected in, empty if any
   */
  public ServiceEntry(
      ServiceId id, int slots, int connections, int coldStartSlots, Set<ZoneId> zones) {
    this(id, slots, connections, coldStartSlots, zones, Optional.empty());
  }

  /**
   * Creates a service whose targets may be in any availability zone.
   *
   * @param id name of the service
   * @param slots maximum number of requests in flight at one target
   * @param connections maximum number of connections to one target
   * @param coldStartSlots maximum number of requests in flight at a target in cold start
   */
  public ServiceEntry(ServiceId id, int slots, int connections, int coldStartSlots) {
    this(id, slots, connections, coldStartSlots, Set.of());
  }

  /** Returns whether the operator limits the requests in flight at a target in cold start. */
  public boolean limitsColdStart() {
    return coldStartSlots < slots;
  }
}
