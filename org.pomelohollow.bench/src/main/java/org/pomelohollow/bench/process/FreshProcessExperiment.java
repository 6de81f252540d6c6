package org.pomelohollow.bench.process;

import io.netty.handler.codec.http.HttpMethod;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.pomelohollow.bench.BenchFleet;
import org.pomelohollow.bench.load.Caller;
import org.pomelohollow.bench.load.LoadResult;
import org.pomelohollow.bench.load.OpenLoop;
import org.pomelohollow.bench.load.Outcome;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.platform.standin.HostSettings;
import org.pomelohollow.platform.standin.StoreStandIn;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

/**
 * Measures the processor time of freshly started daemons: of a start, of an idle second, and of a
 * request in the first seconds of load and after them. Every request crosses two daemons.
 */
public final class FreshProcessExperiment {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
  private static final Duration IDLE_LENGTH = Duration.ofSeconds(3);
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double BYTES_PER_MB = 1e6;

  private final Path directory;
  private final List<String> javaOptions;
  private final double requestsPerSecond;
  private final Duration length;
  private final PrintStream out;
  private final AtomicLong requestCount = new AtomicLong();
  private final Sinks.Empty<Void> stopped = Sinks.empty();

  /**
   * Creates an experiment.
   *
   * @param directory directory for the settings and logs of the daemons
   * @param javaOptions options of the daemons' Java virtual machines, with the program's jar
   * @param requestsPerSecond rate of the load
   * @param length length of each of the measurements under load
   * @param out receives the table
   */
  public FreshProcessExperiment(
      Path directory,
      List<String> javaOptions,
      double requestsPerSecond,
      Duration length,
      PrintStream out) {
    this.directory = directory;
    this.javaOptions = List.copyOf(javaOptions);
    this.requestsPerSecond = requestsPerSecond;
    this.length = length;
    this.out = out;
  }

  /**
   * Runs the experiment.
   *
   * @param measurements number of measurements under load, one after the other
   * @throws InterruptedException if the thread is interrupted
   */
  public void run(int measurements) throws InterruptedException {
    try (StoreStandIn store = StoreStandIn.start(new Endpoint(HostSettings.LOOPBACK, 0));
        DaemonProcess a = start("host-0", "service-0", store);
        DaemonProcess b = start("host-1", "service-1", store);
        Caller caller = new Caller(TIMEOUT)) {
      store.writeOperatorRecord("config", HostSettings.CONFIGURATION);
      List<DaemonProcess> daemons = List.of(a, b);
      Flux.interval(HEARTBEAT_INTERVAL, Schedulers.boundedElastic())
          .onBackpressureDrop()
          .takeUntilOther(stopped.asMono())
          .subscribe(n -> daemons.forEach(DaemonProcess::announceTarget));
      BenchFleet.await(
          "the daemons", () -> daemons.stream().allMatch(DaemonProcess::announceTarget));
      Mono<Outcome> first = request(caller, a, 1);
      Mono<Outcome> second = request(caller, b, 0);
      BenchFleet.await("requests to be served", () -> isServed(first) && isServed(second));
      out.printf("start: %.0f ms of processor time a daemon%n", millis(daemons) / daemons.size());
      measureIdle(daemons);
      for (int i = 0; i < measurements; i++) {
        double before = millis(daemons);
        LoadResult r = OpenLoop.run(requestsPerSecond, length, i, n -> n % 2 == 0 ? first : second);
        out.printf(
            "requests %d, served %d: %.3f ms of processor time each in both daemons, p50 %.2f ms,"
                + " p99 %.2f ms%n",
            r.sentCount(),
            r.servedCount(),
            (millis(daemons) - before) / r.sentCount(),
            r.latencyMillis(50),
            r.latencyMillis(99));
      }
      out.printf(
          "peak memory: %.1f MB a daemon%n",
          daemons.stream().mapToLong(DaemonProcess::peakMemoryBytes).average().orElse(0)
              / BYTES_PER_MB);
    } finally {
      stopped.tryEmitEmpty();
    }
  }

  private void measureIdle(List<DaemonProcess> daemons) throws InterruptedException {
    double before = millis(daemons);
    Thread.sleep(IDLE_LENGTH.toMillis());
    out.printf(
        "idle: %.1f ms of processor time a second and daemon%n",
        (millis(daemons) - before) / daemons.size() / IDLE_LENGTH.toSeconds());
  }

  private DaemonProcess start(String name, String service, StoreStandIn store) {
    return new DaemonProcess(directory, name, service, store.address(), javaOptions);
  }

  private Mono<Outcome> request(Caller c, DaemonProcess to, int route) {
    return Mono.defer(
        () ->
            c.send(
                to.callerAddress(),
                HttpMethod.GET,
                "/" + route + "/x",
                HostSettings.callerHeaders("fresh-" + requestCount.incrementAndGet())));
  }

  private static boolean isServed(Mono<Outcome> request) {
    return request.onErrorReturn(new Outcome(0, false)).block().isServed();
  }

  private static double millis(List<DaemonProcess> daemons) {
    List<Duration> times = new ArrayList<>();
    daemons.forEach(d -> times.add(d.processorTime()));
    return times.stream().mapToLong(Duration::toNanos).sum() / NANOS_PER_MILLI;
  }
}
