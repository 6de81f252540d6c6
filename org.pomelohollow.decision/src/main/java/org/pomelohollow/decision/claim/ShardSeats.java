package org.pomelohollow.decision.claim;

import java.util.Objects;

/**
 * The witnesses of a shard and the ones that they took over from.
 *
 * @param now present witnesses
 * @param before witnesses of the epoch before
 */
public record ShardSeats(Seats now, Seats before) {
  /** Checks the fields. */
  public ShardSeats {
    Objects.requireNonNull(now, "now");
    Objects.requireNonNull(before, "before");
  }
}
