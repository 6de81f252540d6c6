package org.pomelohollow.decision;

import java.util.Objects;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;

/**
 * What a target says of itself on every heartbeat to its own daemon.
 *
 * @param service service that it runs
 * @param address where it takes requests
 * @param instance identifier of this run of the target; changes on a restart
 * @param slots most requests in flight
 * @param connections most connections
 * @param startedMillis wall-clock time of its start, in milliseconds since the epoch; 0 if unknown
 * @param cold whether it says that it is in cold start
 * @param coldMillis how much longer it stays cold by its own account, in milliseconds; 0 if unknown
 * @param reportedLoad load that it reports, 0 to 1; a hint that may lag or mislead
 */
public record TargetAnnouncement(
    ServiceId service,
    Endpoint address,
    String instance,
    int slots,
    int connections,
    long startedMillis,
    boolean cold,
    long coldMillis,
    double reportedLoad) {
  /** Checks the fields. */
  public TargetAnnouncement {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(instance, "instance");
    if (coldMillis < 0) {
      throw new IllegalArgumentException("cold for " + coldMillis + " ms");
    }
    if (slots < 1 || connections < 1) {
      throw new IllegalArgumentException("slots " + slots + ", connections " + connections);
    }
  }

  /**
   * Creates an announcement that names neither the time of the start nor how long the target stays
   * cold.
   *
   * @param service service that it runs
   * @param address where it takes requests
   * @param instance identifier of this run of the target
   * @param slots most requests in flight
   * @param connections most connections
   * @param cold whether it says that it is in cold start
   * @param reportedLoad load that it reports, 0 to 1
   */
  public TargetAnnouncement(
      ServiceId service,
      Endpoint address,
      String instance,
      int slots,
      int connections,
      boolean cold,
      double reportedLoad) {
    this(service, address, instance, slots, connections, 0, cold, 0, reportedLoad);
  }

  /**
   * Tells whether another announcement is of the same run of the same target.
   *
   * @param o another announcement, not null
   * @return true if service, instance and start are the same
   */
  public boolean isSameRun(TargetAnnouncement o) {
    return service.equals(o.service)
        && instance.equals(o.instance)
        && startedMillis == o.startedMillis;
  }
}
