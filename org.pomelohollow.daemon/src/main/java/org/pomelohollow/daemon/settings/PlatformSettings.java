package org.pomelohollow.daemon.settings;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * What a daemon on the users' platform is told besides.
 *
 * @param readiness address on which the platform asks whether the daemon takes requests
 * @param service service of the target on this host
 * @param zones all availability zones of the deployment
 * @param maxRecordBytes greatest record that the platform's log takes
 * @param retryRatio extra attempts to a service that the platform allows per request
 * @param grace time between the signal to stop and the end
 */
public record PlatformSettings(
    Endpoint readiness,
    ServiceId service,
    List<ZoneId> zones,
    int maxRecordBytes,
    double retryRatio,
    Duration grace) {
  /** Copies the list. */
  public PlatformSettings {
    Objects.requireNonNull(readiness, "readiness");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(grace, "grace");
    zones = List.copyOf(zones);
  }
}
