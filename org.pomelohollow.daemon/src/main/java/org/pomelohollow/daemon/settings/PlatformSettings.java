package org.pomelohollow.daemon.settings;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.pomelohollow.decision.rollout.RolloutSettings;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * Additional settings of a daemon on the users' platform.
 *
 * @param readiness address that responds to the platform's readiness checks
 * @param service service of the target on this host
 * @param zones all availability zones of the deployment
 * @param maxRecordBytes maximum size of a record in the platform's log, in bytes
 * @param retryRatio extra attempts to a service that the platform allows per request, 0 to 1
 * @param grace time from the signal to stop until the platform ends the process
 * @param rollouts bounds on what a bad version of a service may get
 */
public record PlatformSettings(
    Endpoint readiness,
    ServiceId service,
    List<ZoneId> zones,
    int maxRecordBytes,
    double retryRatio,
    Duration grace,
    RolloutSettings rollouts) {
  /** Checks for nulls and copies the list. */
  public PlatformSettings {
    Objects.requireNonNull(readiness, "readiness");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(grace, "grace");
    Objects.requireNonNull(rollouts, "rollouts");
    zones = List.copyOf(zones);
  }
}
