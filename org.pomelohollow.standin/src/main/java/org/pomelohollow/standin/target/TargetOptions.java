package org.pomelohollow.standin.target;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;

/**
 * Options of a stand-in target.
 *
 * @param service service that it announces
 * @param daemon loopback address at which its daemon listens for targets, empty without a daemon
 * @param slots requests that it runs concurrently
 * @param announcedSlots slots that it announces, which may differ from {@code slots}
 * @param connections limit of connections that it announces
 * @param serviceTimeMillis mean service time of a request, in milliseconds
 * @param coldSlots concurrent requests that it serves without slowdown in cold start
 * @param coldMillis length of its cold start, in milliseconds
 * @param announcesCold whether it announces that it is in cold start
 * @param calledPaths paths that it calls through its daemon for each request under {@code /chain}
 * @param seed seed of its random service times
 */
public record TargetOptions(
    ServiceId service,
    Optional<Endpoint> daemon,
    int slots,
    int announcedSlots,
    int connections,
    double serviceTimeMillis,
    int coldSlots,
    long coldMillis,
    boolean announcesCold,
    List<String> calledPaths,
    long seed) {
  /** Validates the components and copies the list of paths. */
  public TargetOptions {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(daemon, "daemon");
    calledPaths = List.copyOf(calledPaths);
  }

  /**
   * Creates the options of a target without cold start and outbound calls.
   *
   * @param service service that it announces
   * @param daemon loopback address at which its daemon listens for targets, empty without a daemon
   * @param slots requests that it runs concurrently
   * @param serviceTimeMillis mean service time of a request, in milliseconds
   * @return the options
   */
  public static TargetOptions warm(
      String service, Optional<Endpoint> daemon, int slots, double serviceTimeMillis) {
    return new TargetOptions(
        new ServiceId(service),
        daemon,
        slots,
        slots,
        slots * 8,
        serviceTimeMillis,
        slots,
        0,
        false,
        List.of(),
        1);
  }

  /**
   * Returns a copy that makes outbound calls.
   *
   * @param paths paths that it calls for each request under {@code /chain}
   * @return the copy
   */
  public TargetOptions withCalledPaths(String... paths) {
    return new TargetOptions(
        service,
        daemon,
        slots,
        announcedSlots,
        connections,
        serviceTimeMillis,
        coldSlots,
        coldMillis,
        announcesCold,
        List.of(paths),
        seed);
  }
}
