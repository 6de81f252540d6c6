package org.pomelohollow.standin.target;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;

/**
 * How a target behaves.
 *
 * @param service service that it announces
 * @param daemon loopback address of its daemon's target side, empty without a daemon
 * @param slots requests that it works on at once
 * @param announcedSlots slots that it announces, true or not
 * @param connections most connections that it announces
 * @param serviceTimeMillis mean time of one request, in milliseconds
 * @param coldSlots requests that it bears at once while cold
 * @param coldMillis time from its start until it is warm, in milliseconds
 * @param announcesCold whether it says that it is cold
 * @param calls paths that it calls through its daemon for each request under {@code /chain}
 * @param seed seed of its service times
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
    List<String> calls,
    long seed) {
  /** Copies the list. */
  public TargetOptions {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(daemon, "daemon");
    calls = List.copyOf(calls);
  }

  /**
   * Creates the options of a plain, warm target.
   *
   * @param service service that it announces
   * @param daemon loopback address of its daemon's target side, empty without a daemon
   * @param slots requests that it works on at once
   * @param serviceTimeMillis mean time of one request, in milliseconds
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
   * Returns a copy that calls other services.
   *
   * @param paths paths that it calls for each request under {@code /chain}
   * @return the copy
   */
  public TargetOptions withCalls(String... paths) {
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
