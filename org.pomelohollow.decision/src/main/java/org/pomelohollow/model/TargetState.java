package org.pomelohollow.model;

import java.util.Objects;

/**
 * What a daemon tells its peers of its target.
 *
 * @param service service that the target runs
 * @param slots most requests in flight that the target announced
 * @param limit requests in flight that the daemon admits at present, 0 or more
 * @param cold whether the target is in cold start
 * @param draining whether the target gets no new work
 */
public record TargetState(ServiceId service, int slots, int limit, boolean cold, boolean draining) {
  /** Checks the fields. */
  public TargetState {
    Objects.requireNonNull(service, "service");
    if (slots < 0 || limit < 0) {
      throw new IllegalArgumentException("slots " + slots + ", limit " + limit);
    }
  }
}
