package org.pomelohollow.decision;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetIncarnation;

/**
 * Properties that a target reports in every heartbeat to the daemon beside it.
 *
 * @param service service that the target provides
 * @param address address at which it accepts requests
 * @param instance identifier of this incarnation of the target; changes on a restart
 * @param slots maximum number of requests in flight
 * @param connections maximum number of connections
 * @param startedMillis wall-clock start time, in milliseconds since the epoch; 0 if unknown
 * @param cold whether the target reports that it is in cold start
 * @param coldRemainingMillis remaining duration of the cold start as the target estimates it, in
 *     milliseconds; 0 if unknown
 * @param reportedLoad load that the target reports, 0 to 1; only a hint, as it may be late or wrong
 * @param version version of the target, empty if it names none
 */
public record TargetAnnouncement(
    ServiceId service,
    Endpoint address,
    String instance,
    int slots,
    int connections,
    long startedMillis,
    boolean cold,
    long coldRemainingMillis,
    double reportedLoad,
    Optional<String> version) {
  /** Checks the fields. */
  public TargetAnnouncement {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(version, "version");
    if (coldRemainingMillis < 0) {
      throw new IllegalArgumentException("cold for " + coldRemainingMillis + " ms");
    }
    if (slots < 1 || connections < 1) {
      throw new IllegalArgumentException("slots " + slots + ", connections " + connections);
    }
  }

  /**
   * Creates an announcement without a start time and without the remaining duration of a cold
   * start.
   *
   * @param service service that the target provides
   * @param address address at which it accepts requests
   * @param instance identifier of this incarnation of the target
   * @param slots maximum number of requests in flight
   * @param connections maximum number of connections
   * @param cold whether the target reports that it is in cold start
   * @param reportedLoad load that the target reports, 0 to 1
   */
  public TargetAnnouncement(
      ServiceId service,
      Endpoint address,
      String instance,
      int slots,
      int connections,
      boolean cold,
      double reportedLoad) {
    this(
        service, address, instance, slots, connections, 0, cold, 0, reportedLoad, Optional.empty());
  }

  /**
   * Creates an announcement without a version.
   *
   * @param service service that the target provides
   * @param address address at which it accepts requests
   * @param instance identifier of this incarnation of the target
   * @param slots maximum number of requests in flight
   * @param connections maximum number of connections
   * @param startedMillis wall-clock start time, in milliseconds since the epoch; 0 if unknown
   * @param cold whether the target reports that it is in cold start
   * @param coldRemainingMillis remaining duration of the cold start, in milliseconds; 0 if unknown
   * @param reportedLoad load that the target reports, 0 to 1
   */
  public TargetAnnouncement(
      ServiceId service,
      Endpoint address,
      String instance,
      int slots,
      int connections,
      long startedMillis,
      boolean cold,
      long coldRemainingMillis,
      double reportedLoad) {
    this(
        service,
        address,
        instance,
        slots,
        connections,
        startedMillis,
        cold,
        coldRemainingMillis,
        reportedLoad,
        Optional.empty());
  }

  /** Returns the identity of the incarnation that announces itself. */
  public TargetIncarnation incarnation() {
    return new TargetIncarnation(instance, startedMillis);
  }

  /**
   * Returns whether another announcement comes from the same incarnation of the same target.
   *
   * @param other another announcement, not null
   * @return true if service, instance and start time are equal
   */
  public boolean isSameIncarnation(TargetAnnouncement other) {
    return service.equals(other.service)
        && instance.equals(other.instance)
        && startedMillis == other.startedMillis;
  }
}
