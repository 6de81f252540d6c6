package org.pomelohollow.model;

import java.util.Objects;
import java.util.Optional;

/**
 * State of a target that its daemon gossips to its peers.
 *
 * @param service service that the target runs
 * @param slots maximum number of requests in flight that the target announced, 0 or more
 * @param limit current limit of requests in flight that the daemon applies, 0 or more
 * @param cold whether the target is in cold start
 * @param draining whether the target receives no new requests
 * @param version version of the target, empty if it names none or if the peer does not send it
 */
public record TargetState(
    ServiceId service,
    int slots,
    int limit,
    boolean cold,
    boolean draining,
    Optional<String> version) {
  /** Creates a state after checking the ranges. */
  public TargetState {
    Objects.requireNonNull(service, "service");
    if (slots < 0 || limit < 0) {
      throw new IllegalArgumentException("negative value: slots " + slots + ", limit " + limit);
    }
    // A peer of an earlier release does not send the last component, which is decoded as null.
    version = version == null ? Optional.empty() : version;
  }

  /**
   * Creates a state of a target that names no version.
   *
   * @param service service that the target runs
   * @param slots maximum number of requests in flight that the target announced, 0 or more
   * @param limit current limit of requests in flight that the daemon applies, 0 or more
   * @param cold whether the target is in cold start
   * @param draining whether the target receives no new requests
   */
  public TargetState(ServiceId service, int slots, int limit, boolean cold, boolean draining) {
    this(service, slots, limit, cold, draining, Optional.empty());
  }
}
