package org.pomelohollow.daemon;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.pomelohollow.daemon.settings.PeerSecret;
import org.pomelohollow.daemon.settings.Settings;
import org.pomelohollow.decision.config.ConfigProposal;
import org.pomelohollow.decision.request.ApiKeyDigest;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ZoneId;
import org.pomelohollow.standin.log.LogStandIn;
import org.pomelohollow.standin.target.TargetOptions;
import org.pomelohollow.standin.target.TargetStandIn;
import org.pomelohollow.wire.HttpLogClient;
import org.pomelohollow.wire.WireCodec;
import reactor.netty.resources.LoopResources;

/**
 * Daemons, their target stand-ins and a log stand-in, all in this process and connected by real
 * sockets.
 */
final class Fleet implements AutoCloseable {
  static final String API_KEY = "a-key-for-tests";
  static final Duration TIMEOUT = Duration.ofSeconds(20);

  private static final int OK = 200;
  private static final Duration SETTLED_PERIOD = Duration.ofSeconds(3);
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);

  private final LoopResources loops = LoopResources.create("fleet", 1, true);
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<TargetStandIn> targets = new ArrayList<>();
  final LogStandIn log = LogStandIn.start(ANY_PORT);

  /**
   * Adds a daemon and a target that announces itself to it.
   *
   * @param host name of the host
   * @param zone availability zone of the host
   * @param service service of the target
   * @param calls paths of the outbound calls that the target makes for a request under {@code
   *     /chain}
   * @return this fleet
   */
  Fleet add(String host, String zone, String service, String... calls) {
    Daemon d = addDaemon(host, zone);
    TargetOptions o =
        TargetOptions.warm(service, Optional.of(d.targetAddress()), 16, 1).withCalledPaths(calls);
    targets.add(TargetStandIn.start(o, ANY_PORT, () -> {}));
    return this;
  }

  Daemon addDaemon(String host, String zone) {
    Settings s =
        new Settings(
            host,
            new ZoneId(zone),
            new Settings.Listen(ANY_PORT, ANY_PORT, ANY_PORT, ANY_PORT),
            log.address(),
            List.of(),
            PeerSecret.of("a secret for tests only"),
            Settings.Limits.DEFAULT,
            "warn");
    Daemon d = Daemon.start(s);
    daemons.add(d);
    return d;
  }

  /** Shuts a daemon down gracefully, then starts a new daemon and target with the same index. */
  void restart(int i, String host, String zone, String service) {
    daemons.get(i).shutdown().block(TIMEOUT);
    targets.get(i).close();
    add(host, zone, service);
    daemons.set(i, daemons.remove(daemons.size() - 1));
    targets.set(i, targets.remove(targets.size() - 1));
  }

  void publish(String changeId, long base, String text) {
    new HttpLogClient(log.address(), loops, new WireCodec())
        .append(
            LogStream.CONFIG.streamName(),
            new WireCodec().encode(new ConfigProposal(changeId, base, text)))
        .block(TIMEOUT);
  }

  Daemon daemon(int i) {
    return daemons.get(i);
  }

  TargetStandIn target(int i) {
    return targets.get(i);
  }

  /** Waits until a condition holds; fails after the timeout. */
  static void await(String what, BooleanSupplier condition) {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("condition not met within " + TIMEOUT + ": " + what);
      }
      Thread.onSpinWait();
    }
  }

  /**
   * Waits until requests with an API key have succeeded without interruption for a while. A fleet
   * that has just started is still assigning the quota of its accounts to daemons.
   */
  static void awaitSettled(Daemon d, String path) {
    long[] since = {System.nanoTime()};
    await(
        "steady service of " + path,
        () -> {
          if (status(d, path) != OK) {
            since[0] = System.nanoTime();
          }
          return System.nanoTime() - since[0] > SETTLED_PERIOD.toNanos();
        });
  }

  static HttpRequest.Builder request(Daemon d, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + d.callerAddress() + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + API_KEY);
  }

  /** Sends a GET request and returns the status, 0 if there is no response. */
  static int status(Daemon d, String path) {
    try {
      return client().send(request(d, path).build(), BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  /** Sends a GET request and returns status and body, or 0 and the exception. */
  static String statusAndBody(Daemon d, String path) {
    try {
      var r = client().send(request(d, path).build(), BodyHandlers.ofString());
      return r.statusCode() + " " + r.body();
    } catch (IOException e) {
      return "0 " + e;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "0 interrupted";
    }
  }

  static HttpClient client() {
    return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  }

  static String document(String services) {
    return """
    name = "test"
    priorities = ["high", "normal", "low"]

    [zones.a]
    [zones.b]
    [zones.c]

    [accounts.one]
    rate = 100000.0
    burst = 100000.0

    [[keys]]
    account = "one"
    sha256 = "%s"

    """
            .formatted(ApiKeyDigest.of(API_KEY))
        + services;
  }

  static String service(String name) {
    return """
    [services.%1$s]
    slots = 16
    connections = 64
    cold_start_slots = 16

    [[routes]]
    name = "%1$s-read"
    service = "%1$s"
    methods = ["GET", "HEAD"]
    path = "/%1$s/**"
    priority = "normal"
    idempotent = true

    [[routes]]
    name = "%1$s-open"
    service = "%1$s"
    methods = ["GET"]
    path = "/%1$s/open"
    priority = "normal"
    idempotent = true
    open = true

    [[routes]]
    name = "%1$s-write"
    service = "%1$s"
    methods = ["POST", "PUT"]
    path = "/%1$s/**"
    priority = "high"

    """
        .formatted(name);
  }

  @Override
  public void close() {
    targets.forEach(TargetStandIn::close);
    daemons.forEach(Daemon::close);
    log.close();
    loops.dispose();
  }
}
