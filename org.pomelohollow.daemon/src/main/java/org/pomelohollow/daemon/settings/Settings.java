package org.pomelohollow.daemon.settings;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Names;
import org.pomelohollow.model.ZoneId;

/**
 * Settings of a daemon, as read from its settings file.
 *
 * @param host name of the host
 * @param zone availability zone
 * @param listen addresses to listen on
 * @param log address of the platform log
 * @param seeds addresses of peers to contact while the log names no peer
 * @param secret secret shared by all daemons
 * @param limits limits on request sizes, and timeouts
 * @param logLevel lowest log level that is written: trace, debug, info, warn or error
 * @param platform additional settings on the users' platform, empty elsewhere
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
  /** Checks the host name, checks for nulls and copies the list. */
  public Settings {
    if (!Names.isValid(host)) {
      throw new IllegalArgumentException("host \"" + host + "\" is not a valid name");
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
   * @param host name of the host
   * @param zone availability zone
   * @param listen addresses to listen on
   * @param log address of the platform log
   * @param seeds addresses of peers to contact while the log names no peer
   * @param secret secret shared by all daemons
   * @param limits limits on request sizes, and timeouts
   * @param logLevel lowest log level that is written
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
   * @param caller address for requests of callers
   * @param peer address for links of peers
   * @param target address for the target of this daemon, on loopback
   * @param admin address for metrics and dumps
   */
  public record Listen(Endpoint caller, Endpoint peer, Endpoint target, Endpoint admin) {}

  /**
   * Limits on request sizes, and timeouts.
   *
   * @param maxHeaderBytes maximum size of the head of a request, in bytes
   * @param maxBodyBytes maximum size of the body of a request, in bytes
   * @param idleTimeout time after which an idle connection of a caller is closed
   * @param drainTimeout maximum time that a shutdown waits for running requests
   * @param announceTimeout time without an announcement after which a target is lost
   */
  public record Limits(
      int maxHeaderBytes,
      long maxBodyBytes,
      Duration idleTimeout,
      Duration drainTimeout,
      Duration announceTimeout) {
    /** Limits that apply where the settings file names none. */
    public static final Limits DEFAULT =
        new Limits(
            16 * 1024,
            1L << 30,
            Duration.ofSeconds(60),
            Duration.ofSeconds(30),
            Duration.ofMillis(1500));
  }
}
