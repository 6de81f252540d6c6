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

/** The demo's processes: a log in this one, and a daemon and a target for each host. */
final class DemoFleet implements AutoCloseable {
  /** Zones, one host of each service in each. */
  static final List<String> ZONES = List.of("palmira", "buga", "tulua");

  /** Client accounts; the key of each is its name followed by {@code -key}. */
  static final List<String> ACCOUNTS = List.of("aserradero", "vivero", "ruidoso");

  private static final Duration PATIENCE = Duration.ofSeconds(20);
  private static final long POLL_MILLIS = 20;

  private final Path directory;
  private final LogStandIn log = LogStandIn.start(new Endpoint("127.0.0.1", 0));
  private final LoopResources loops = LoopResources.create("demo", 1, true);
  private final HttpLogClient logClient = new HttpLogClient(log.address(), loops, new WireCodec());
  private final List<Host> hosts = new ArrayList<>();
  private String document = "";
  private long version;

  /**
   * Starts the fleet.
   *
   * @param directory takes settings and logs of the processes
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

  /** Returns the document in force, as text. */
  String document() {
    return document;
  }

  static String key(String account) {
    return account + "-key";
  }

  /** Reads the demo's first document. */
  static String firstDocument() {
    try (InputStream in = DemoFleet.class.getResourceAsStream("demo.toml")) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      for (String a : ACCOUNTS) {
        text = text.replace("@" + a + "@", ApiKeyDigest.of(key(a)));
      }
      return text;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Publishes a document and waits until every daemon has it in force.
   *
   * @param text the document
   * @return time from the append to the last daemon
   */
  Duration publish(String text) throws InterruptedException {
    String change = "demo-" + (version + 1);
    long start = System.nanoTime();
    logClient
        .append(
            LogStream.CONFIG.streamName(),
            new WireCodec().encode(new ConfigProposal(change, version, text)))
        .block(PATIENCE);
    version++;
    document = text;
    await("version " + version, () -> hosts.stream().allMatch(h -> h.version() == version));
    return Duration.ofNanos(System.nanoTime() - start);
  }

  /** Waits until a condition holds. */
  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + PATIENCE.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new PomelohollowException(ErrorCode.INTERNAL, "the demo waited too long for " + what);
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  /** Starts a target again at the same daemon. */
  void restartTarget(Host h) {
    h.target = startTarget(h);
  }

  /** Stops a daemon gracefully and starts it again under the same host name. */
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

  private Child startDaemon(Host h) {
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
    return Child.start(logFile(h), 4, List.of("daemon", "--settings", file.toString()));
  }

  private Child startTarget(Host h) {
    List<String> args = new ArrayList<>(List.of("stand-in", "target", "--service", h.service));
    args.addAll(List.of("--daemon", h.daemon.address("target").toString()));
    args.addAll(List.of("--service-time-ms", "5", "--slots", "20"));
    if (h.service.equals("catalogo")) {
      args.addAll(List.of("--call", "/reservas/stock"));
    }
    return Child.start(logFile(h), 1, args);
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

  /** A host with its daemon and its target. */
  static final class Host {
    private final String name;
    private final String service;
    private final String zone;
    private volatile Child daemon;
    private volatile Child target;

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

    Child daemon() {
      return daemon;
    }

    Child target() {
      return target;
    }

    long version() {
      return DemoHttp.configVersion(daemon.address("admin"));
    }

    TargetReport counts() {
      return TargetReport.fetch(target.address("target"));
    }
  }
}
