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
 * @param cold whether it says that it is in cold start
 * @param reportedLoad load that it reports, 0 to 1; a hint that may lag or mislead
 */
public record TargetAnnouncement(
    ServiceId service,
    Endpoint address,
    String instance,
    int slots,
    int connections,
    boolean cold,
    double reportedLoad) {
  /** Checks the fields. */
  public TargetAnnouncement {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(instance, "instance");
    if (slots < 1 || connections < 1) {
      throw new IllegalArgumentException("slots " + slots + ", connections " + connections);
    }
  }
}
