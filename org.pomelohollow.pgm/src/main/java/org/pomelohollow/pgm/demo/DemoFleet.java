package org.pomelohollow.pgm.demo;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.pomelohollow.decision.config.ConfigProposal;
import org.pomelohollow.decision.request.ApiKeyDigest;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.standin.log.LogStandIn;
import org.pomelohollow.wire.HttpLogClient;
import org.pomelohollow.wire.WireCodec;
import reactor.netty.resources.LoopResources;

/** The fleet of the demo: a log in this process, and a daemon and a target process per host. */
final class DemoFleet implements AutoCloseable {
  /** Availability zones; each has one host of each service. */
  static final List<String> ZONES = List.of("palmira", "buga", "tulua");

  /** Client accounts; the API key of each is its name followed by {@code -key}. */
  static final List<String> ACCOUNTS = List.of("aserradero", "vivero", "ruidoso");

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final long POLL_PERIOD_MILLIS = 20;

  private final Path directory;
  private final LogStandIn log = LogStandIn.start(new Endpoint("127.0.0.1", 0));
  private final LoopResources loops = LoopResources.create("demo", 1, true);
  private final HttpLogClient logClient = new HttpLogClient(log.address(), loops, new WireCodec());
  private final List<Host> hosts = new ArrayList<>();
  private String document = "";
  private long version;

  /**
   * Starts all processes.
   *
   * @param directory directory for the settings and log files of the processes
   */
  DemoFleet(Path directory) {
    this.directory = directory;
    write("secret", "the demo's secret of peers");
    for (String zone : ZONES) {
      hosts.add(new Host("catalogo-" + zone, "catalogo", zone));
      hosts.add(new Host("reservas-" + zone, "reservas", zone));
    }
    hosts.parallelStream().forEach(this::startHost);
  }

  List<Host> hosts() {
    return hosts;
  }

  Host host(int i) {
    return hosts.get(i % hosts.size());
  }

  Endpoint logAddress() {
    return log.address();
  }

  /** Returns the active configuration document, as text. */
  String document() {
    return document;
  }

  static String apiKey(String account) {
    return account + "-key";
  }

  /** Reads the initial document of the demo and fills in the digests of the API keys. */
  static String readInitialDocument() {
    try (InputStream in = DemoFleet.class.getResourceAsStream("demo.toml")) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      for (String a : ACCOUNTS) {
        text = text.replace("@" + a + "@", ApiKeyDigest.of(apiKey(a)));
      }
      return text;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Publishes a document and waits until it is active in every daemon.
   *
   * @param text the document
   * @return time from before the append until it was seen active in the last daemon
   */
  Duration publish(String text) throws InterruptedException {
    String changeId = "demo-" + (version + 1);
    long startNanos = System.nanoTime();
    logClient
        .append(
            LogStream.CONFIG.streamName(),
            new WireCodec().encode(new ConfigProposal(changeId, version, text)))
        .block(TIMEOUT);
    version++;
    document = text;
    await(
        "version " + version, () -> hosts.stream().allMatch(h -> h.readConfigVersion() == version));
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  /**
   * Waits until a condition holds.
   *
   * @param what name of the condition, for the error message
   * @param condition the condition
   * @throws PomelohollowException if it does not hold within 20 s
   */
  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new PomelohollowException(
            ErrorCode.INTERNAL,
            "the demo waited more than " + TIMEOUT.toSeconds() + " s for " + what);
      }
      Thread.sleep(POLL_PERIOD_MILLIS);
    }
  }

  /** Starts a new target process for the daemon of a host, after the previous one was killed. */
  void restartTarget(Host h) {
    h.target = startTarget(h);
  }

  /**
   * Shuts a daemon down gracefully, kills its target and starts both again under the same host
   * name.
   */
  void restartDaemon(Host h) throws InterruptedException {
    h.daemon.stop();
    h.target.kill();
    h.daemon = startDaemon(h);
    h.target = startTarget(h);
  }

  @Override
  public void close() {
    for (Host h : hosts) {
      h.target.kill();
      h.daemon.kill();
    }
    log.close();
    loops.dispose();
  }

  private void startHost(Host h) {
    h.daemon = startDaemon(h);
    h.target = startTarget(h);
  }

  private ChildProcess startDaemon(Host h) {
    String settings =
        """
        host = "%s"
        zone = "%s"

        [listen]
        caller = "127.0.0.1:0"
        peer = "127.0.0.1:0"
        target = "127.0.0.1:0"
        admin = "127.0.0.1:0"

        [log]
        address = "%s"

        [peers]
        secret_file = "%s"
        """
            .formatted(h.name, h.zone, log.address(), directory.resolve("secret"));
    Path file = write(h.name + ".toml", settings);
    return ChildProcess.start(logFile(h), 4, List.of("daemon", "--settings", file.toString()));
  }

  private ChildProcess startTarget(Host h) {
    List<String> args = new ArrayList<>(List.of("stand-in", "target", "--service", h.service));
    args.addAll(List.of("--daemon", h.daemon.address("target").toString()));
    args.addAll(List.of("--service-time-ms", "5", "--slots", "20"));
    if (h.service.equals("catalogo")) {
      args.addAll(List.of("--call", "/reservas/stock"));
    }
    return ChildProcess.start(logFile(h), 1, args);
  }

  private Path logFile(Host h) {
    return directory.resolve(h.name + ".log");
  }

  private Path write(String name, String text) {
    try {
      return Files.writeString(directory.resolve(name), text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** A host with its present daemon and target processes. */
  static final class Host {
    private final String name;
    private final String service;
    private final String zone;
    private volatile ChildProcess daemon;
    private volatile ChildProcess target;

    private Host(String name, String service, String zone) {
      this.name = name;
      this.service = service;
      this.zone = zone;
    }

    String name() {
      return name;
    }

    String service() {
      return service;
    }

    String zone() {
      return zone;
    }

    ChildProcess daemon() {
      return daemon;
    }

    ChildProcess target() {
      return target;
    }

    long readConfigVersion() {
      return DemoHttp.readConfigVersion(daemon.address("admin"));
    }

    TargetReport readCounts() {
      return TargetReport.fetch(target.address("target"));
    }
  }
}
