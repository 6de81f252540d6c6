package org.pomelohollow.daemon.settings;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Names;
import org.pomelohollow.model.ZoneId;

/**
 * Settings of a daemon.
 *
 * @param host host name
 * @param zone availability zone
 * @param listen addresses to listen on
 * @param log address of the platform log
 * @param seeds peers to try while the log tells of none
 * @param secret secret shared by all daemons
 * @param limits bounds on callers and times
 * @param logLevel least severe log level that is written: trace, debug, info, warn or error
 * @param platform what else a daemon on the users' platform is told, empty elsewhere
 */
public record Settings(
    String host,
    ZoneId zone,
    Listen listen,
    Endpoint log,
    List<Endpoint> seeds,
    PeerSecret secret,
    Limits limits,
    String logLevel,
    Optional<PlatformSettings> platform) {
  /** Checks the fields. */
  public Settings {
    if (!Names.isValid(host)) {
      throw new IllegalArgumentException("host " + host);
    }
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(listen, "listen");
    Objects.requireNonNull(log, "log");
    seeds = List.copyOf(seeds);
    Objects.requireNonNull(secret, "secret");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(logLevel, "logLevel");
    Objects.requireNonNull(platform, "platform");
  }

  /**
   * Creates the settings of a daemon that is not on the users' platform.
   *
   * @param host host name
   * @param zone availability zone
   * @param listen addresses to listen on
   * @param log address of the platform log
   * @param seeds peers to try while the log tells of none
   * @param secret secret shared by all daemons
   * @param limits bounds on callers and times
   * @param logLevel least severe log level that is written
   */
  public Settings(
      String host,
      ZoneId zone,
      Listen listen,
      Endpoint log,
      List<Endpoint> seeds,
      PeerSecret secret,
      Limits limits,
      String logLevel) {
    this(host, zone, listen, log, seeds, secret, limits, logLevel, Optional.empty());
  }

  /**
   * Addresses to listen on.
   *
   * @param caller for callers
   * @param peer for other daemons
   * @param target for the target of this daemon, on loopback
   * @param admin for metrics and dumps
   */
  public record Listen(Endpoint caller, Endpoint peer, Endpoint target, Endpoint admin) {}

  /**
   * Bounds on callers and times.
   *
   * @param maxHeaderBytes greatest size of a request's head
   * @param maxBodyBytes greatest size of a request's body
   * @param idleTimeout time after which a silent caller connection is closed
   * @param drainTimeout longest time that a graceful stop waits for running requests
   * @param announceTimeout time without an announcement after which a target counts as lost
   */
  public record Limits(
      int maxHeaderBytes,
      long maxBodyBytes,
      Duration idleTimeout,
      Duration drainTimeout,
      Duration announceTimeout) {
    /** Bounds that apply where the settings name none. */
    public static final Limits DEFAULT =
        new Limits(
            16 * 1024,
            1L << 30,
            Duration.ofSeconds(60),
            Duration.ofSeconds(30),
            Duration.ofMillis(1500));
  }
}
