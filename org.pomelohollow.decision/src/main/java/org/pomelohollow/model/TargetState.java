package org.pomelohollow.model;

import java.util.Objects;

/**
 * State of a target that its daemon gossips to its peers.
 *
 * @param service service that the target runs
 * @param slots maximum number of requests in flight that the target announced, 0 or more
 * @param limit current limit of requests in flight that the daemon applies, 0 or more
 * @param cold whether the target is in cold start
 * @param draining whether the target receives no new requests
 */
public record TargetState(ServiceId service, int slots, int limit, boolean cold, boolean draining) {
  /** Creates a state after checking the ranges. */
  public TargetState {
    Objects.requireNonNull(service, "service");
    if (slots < 0 || limit < 0) {
      throw new IllegalArgumentException("negative value: slots " + slots + ", limit " + limit);
    }
  }
}
