package org.pomelohollow.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.pomelohollow.decision.rollout.RolloutSettings;
import org.pomelohollow.document.ParseResult;
import org.pomelohollow.document.Problem;
import org.pomelohollow.document.TomlReader;
import org.pomelohollow.document.TomlSection;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/** Reads and validates the settings file of a daemon, in TOML. */
public final class SettingsReader {
  private static final List<String> LOG_LEVELS = List.of("trace", "debug", "info", "warn", "error");
  private static final long MAX_DURATION_MILLIS = Duration.ofHours(1).toMillis();
  private static final double MILLIS_PER_SECOND = 1e3;
  private static final double MAX_EXPOSE_SLACK = 1e6;
  private static final Pattern DURATION = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,9})?)(ms|s)");

  private final UnaryOperator<String> environment;

  /**
   * Creates a reader.
   *
   * @param environment returns the value of an environment variable, null if it is not set
   */
  public SettingsReader(UnaryOperator<String> environment) {
    this.environment = environment;
  }

  /**
   * Reads a settings file.
   *
   * @param file the file
   * @return the settings, or all problems found
   */
  public ParseResult<Settings> read(Path file) {
    try {
      return read(file.toString(), Files.readString(file));
    } catch (IOException e) {
      Problem p = new Problem(file.toString(), "", 0, ErrorCode.FILE_UNREADABLE, "cannot be read");
      return new ParseResult<>(Optional.empty(), List.of(p));
    }
  }

  /**
   * Reads settings from a text.
   *
   * @param file file name that problems refer to
   * @param text settings in TOML
   * @return the settings, or all problems found
   */
  public ParseResult<Settings> read(String file, String text) {
    return TomlReader.read(file, text, this::read);
  }

  private Optional<Settings> read(TomlSection top) {
    Optional<ZoneId> zone = top.requiredValue("zone", ZoneId::new);
    Optional<String> host = top.requiredValue("host", h -> new ZoneId(h).value());
    Optional<Settings.Listen> listen = require(top, "listen").flatMap(SettingsReader::readListen);
    Optional<Endpoint> log = require(top, "log").flatMap(SettingsReader::readLog);
    Optional<TomlSection> peers = require(top, "peers");
    List<Endpoint> seeds = peers.map(SettingsReader::readSeeds).orElse(List.of());
    Optional<PeerSecret> secret = peers.flatMap(this::readSecret);
    peers.ifPresent(TomlSection::rejectUnknownKeys);
    Settings.Limits limits =
        top.section("limits").map(SettingsReader::readLimits).orElse(Settings.Limits.DEFAULT);
    String logLevel = top.section("logging").map(SettingsReader::readLogLevel).orElse("info");
    Optional<PlatformSettings> platform =
        top.section("platform").flatMap(SettingsReader::readPlatform);
    top.rejectUnknownKeys();
    if (top.problemCount() > 0) {
      return Optional.empty();
    }
    return Optional.of(
        new Settings(
            host.orElseThrow(),
            zone.orElseThrow(),
            listen.orElseThrow(),
            log.orElseThrow(),
            seeds,
            secret.orElseThrow(),
            limits,
            logLevel,
            platform));
  }

  private static Optional<TomlSection> require(TomlSection top, String key) {
    Optional<TomlSection> s = top.section(key);
    if (s.isEmpty() && !top.has(key)) {
      top.report(key, ErrorCode.TOML_MISSING_KEY, "is missing");
    }
    return s;
  }

  private static Optional<Settings.Listen> readListen(TomlSection s) {
    Optional<Endpoint> caller = s.requiredValue("caller", Endpoint::parse);
    Optional<Endpoint> peer = s.requiredValue("peer", Endpoint::parse);
    Optional<Endpoint> target = s.requiredValue("target", Endpoint::parse);
    Optional<Endpoint> admin = s.requiredValue("admin", Endpoint::parse);
    s.rejectUnknownKeys();
    if (caller.isEmpty() || peer.isEmpty() || target.isEmpty() || admin.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new Settings.Listen(caller.get(), peer.get(), target.get(), admin.get()));
  }

  private static Optional<Endpoint> readLog(TomlSection s) {
    Optional<Endpoint> address = s.requiredValue("address", Endpoint::parse);
    s.rejectUnknownKeys();
    return address;
  }

  private static List<Endpoint> readSeeds(TomlSection s) {
    List<Endpoint> out = new ArrayList<>();
    for (String seed : s.strings("seeds")) {
      s.construct("seeds", () -> Endpoint.parse(seed)).ifPresent(out::add);
    }
    return out;
  }

  private Optional<PeerSecret> readSecret(TomlSection s) {
    boolean fromFile = s.has("secret_file");
    boolean fromEnvironment = s.has("secret_env");
    if (fromFile == fromEnvironment) {
      s.report("secret_file", ErrorCode.TOML_MISSING_KEY, "needs either secret_file or secret_env");
      return Optional.empty();
    }
    return fromFile
        ? s.requiredValue("secret_file", f -> PeerSecret.of(readFile(f)))
        : s.requiredValue("secret_env", v -> PeerSecret.of(readVariable(v)));
  }

  private static String readFile(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new PomelohollowException(
          ErrorCode.FILE_UNREADABLE, "file \"" + file + "\" cannot be read", e);
    }
  }

  private String readVariable(String name) {
    String v = environment.apply(name);
    if (v == null) {
      throw new PomelohollowException(
          ErrorCode.TOML_DANGLING_VARIABLE, "environment variable " + name + " is not set");
    }
    return v;
  }

  private static Settings.Limits readLimits(TomlSection s) {
    Settings.Limits d = Settings.Limits.DEFAULT;
    Settings.Limits l =
        new Settings.Limits(
            (int) s.integer("max_header_bytes", d.maxHeaderBytes(), 1_024, 1 << 20),
            s.integer("max_body_bytes", d.maxBodyBytes(), 0, Long.MAX_VALUE),
            readMillis(s, "idle_timeout_ms", d.idleTimeout()),
            readMillis(s, "drain_timeout_ms", d.drainTimeout()),
            readMillis(s, "announce_timeout_ms", d.announceTimeout()));
    s.rejectUnknownKeys();
    return l;
  }

  private static Optional<PlatformSettings> readPlatform(TomlSection s) {
    Optional<Endpoint> readiness = s.requiredValue("readiness", Endpoint::parse);
    Optional<ServiceId> service = s.requiredValue("service", ServiceId::new);
    List<ZoneId> zones = s.strings("zones").stream().map(ZoneId::new).toList();
    long maxRecordBytes = s.integer("max_record_bytes", 262_144, 1_024, 1L << 30);
    double retryRatio = s.number("retry_ratio", 0.1, 0, 1);
    Duration grace =
        s.requiredValue("grace", SettingsReader::parseDuration).orElse(Duration.ofSeconds(5));
    RolloutSettings rollouts = readRollouts(s);
    s.rejectUnknownKeys();
    if (readiness.isEmpty() || service.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new PlatformSettings(
            readiness.get(),
            service.get(),
            zones,
            (int) maxRecordBytes,
            retryRatio,
            grace,
            rollouts));
  }

  /** Reads the bounds of version upgrades, which the platform sets only where there are some. */
  private static RolloutSettings readRollouts(TomlSection s) {
    RolloutSettings d = RolloutSettings.DEFAULT;
    double share = s.number("expose_share", d.exposeShare(), 0, 1);
    double slack = s.number("expose_slack", d.exposeSlack(), 0, MAX_EXPOSE_SLACK);
    long rollbackNanos =
        s.has("rollback")
            ? s.requiredValue("rollback", SettingsReader::parseDuration)
                .map(Duration::toNanos)
                .orElse(d.rollbackNanos())
            : d.rollbackNanos();
    return new RolloutSettings(share, slack, rollbackNanos, s.has("expose_share"));
  }

  /** Parses a number with unit {@code ms} or {@code s}. */
  private static Duration parseDuration(String text) {
    Matcher m = DURATION.matcher(text);
    if (!m.matches()) {
      throw new PomelohollowException(
          ErrorCode.TOML_OUT_OF_RANGE, "\"" + text + "\" is not a duration in ms or s");
    }
    double number = Double.parseDouble(m.group(1));
    double millis = m.group(2).equals("s") ? number * MILLIS_PER_SECOND : number;
    if (millis > MAX_DURATION_MILLIS) {
      throw new PomelohollowException(
          ErrorCode.TOML_OUT_OF_RANGE,
          "\"" + text + "\" is longer than " + MAX_DURATION_MILLIS + " ms");
    }
    return Duration.ofMillis((long) millis);
  }

  private static Duration readMillis(TomlSection s, String key, Duration fallback) {
    return Duration.ofMillis(s.integer(key, fallback.toMillis(), 1, MAX_DURATION_MILLIS));
  }

  private static String readLogLevel(TomlSection s) {
    String level = s.optionalString("level").orElse("info");
    if (!LOG_LEVELS.contains(level)) {
      s.report("level", ErrorCode.TOML_OUT_OF_RANGE, "is not one of " + LOG_LEVELS);
    }
    s.rejectUnknownKeys();
    return level;
  }
}
