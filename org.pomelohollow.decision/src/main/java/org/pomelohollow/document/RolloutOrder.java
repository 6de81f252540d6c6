package org.pomelohollow.document;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.ServiceId;

/**
 * An operators' order to move the traffic of a service to targets of another version.
 *
 * @param service the service
 * @param version version of the targets that are to get the traffic
 * @param durationMillis time in which the order is to be completed or rolled back, in milliseconds
 * @param id identity, which differs for each order, also for one of the same version
 */
public record RolloutOrder(ServiceId service, String version, long durationMillis, String id) {
  /** Checks the fields. */
  public RolloutOrder {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(id, "id");
    if (version.isEmpty() || durationMillis < 1) {
      throw new PomelohollowException(
          ErrorCode.TOML_OUT_OF_RANGE,
          "an order needs a version and a duration, not \"" + version + "\", " + durationMillis);
    }
  }

  /** Returns the duration in nanoseconds. */
  public long durationNanos() {
    return TimeUnit.MILLISECONDS.toNanos(durationMillis);
  }
}
