package org.pomelohollow.document;

import java.util.Objects;
import org.pomelohollow.model.ServiceId;

/**
 * A service and the bounds of each of its targets.
 *
 * @param id name
 * @param slots most requests in flight at one target
 * @param connections most connections to one target
 * @param coldStartSlots most requests in flight at a target in cold start
 */
public record ServiceEntry(ServiceId id, int slots, int connections, int coldStartSlots) {
  /** Highest bound per target. */
  public static final int MAX_SLOTS = 100_000;

  /** Checks the ranges. */
  public ServiceEntry {
    Objects.requireNonNull(id, "id");
    Ranges.check("slots", slots, 1, MAX_SLOTS);
    Ranges.check("connections", connections, 1, MAX_SLOTS);
    Ranges.check("cold_start_slots", coldStartSlots, 1, slots);
  }
}
