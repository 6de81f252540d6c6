package org.pomelohollow.bench;

import io.netty.handler.codec.http.HttpMethod;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.bench.load.Caller;
import org.pomelohollow.bench.load.ClosedLoop;
import org.pomelohollow.bench.load.LoadResult;
import org.pomelohollow.bench.load.OpenLoop;
import org.pomelohollow.bench.load.Outcome;
import org.pomelohollow.decision.request.ApiKeyDigest;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.standin.target.TargetOptions;
import reactor.core.publisher.Mono;

/**
 * Measures the latency and processor time that two daemons add to a call, in comparison with calls
 * that go directly to the target.
 */
public final class OverheadExperiment {
  private static final double[] LOAD_SHARES = {0.1, 0.5, 0.8};
  private static final int SLOTS = 512;
  private static final int CALLERS = 64;
  private static final double MAX_ADDED_P99_MILLIS = 1.5;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final String KEY = "bench-key";
  private static final String PATH = "/far/x";
  private static final Map<String, String> HEADERS = Map.of("Authorization", "Bearer " + KEY);

  private final Duration warmUpLength;
  private final Duration length;
  private final PrintStream out;

  /**
   * Creates an experiment.
   *
   * @param length length of each measurement
   * @param out receives the table
   */
  public OverheadExperiment(Duration length, PrintStream out) {
    this.length = length;
    this.warmUpLength = length;
    this.out = out;
  }

  /**
   * Runs the experiment.
   *
   * @return the rows, one for each load
   * @throws InterruptedException if the thread is interrupted
   */
  public List<Row> run() throws InterruptedException {
    try (BenchFleet fleet = new BenchFleet();
        Caller caller = new Caller(TIMEOUT)) {
      fleet.add("near", "a", d -> TargetOptions.warm("near", Optional.of(d), SLOTS, 0));
      fleet.add("far", "b", d -> TargetOptions.warm("far", Optional.of(d), SLOTS, 0));
      fleet.publish(document());
      Mono<Outcome> through = get(caller, fleet.daemons().get(0).callerAddress());
      Mono<Outcome> direct = get(caller, fleet.targets().get(1).address());
      BenchFleet.await(
          "a request served through two daemons",
          () -> through.onErrorReturn(new Outcome(0, false)).block().isServed());
      ClosedLoop.measureRate(CALLERS, warmUpLength, through);
      ClosedLoop.measureRate(CALLERS, warmUpLength, direct);
      double throughput = ClosedLoop.measureRate(CALLERS, length, through);
      out.printf("the path through two daemons carries %.0f calls/s%n", throughput);
      List<Row> rows = new ArrayList<>();
      for (double share : LOAD_SHARES) {
        rows.add(row(share, share * throughput, direct, through));
      }
      print(rows);
      return rows;
    }
  }

  private Row row(double share, double callsPerSecond, Mono<Outcome> direct, Mono<Outcome> through)
      throws InterruptedException {
    LoadResult directResult = OpenLoop.run(callsPerSecond, length, 1, i -> direct);
    long cpuNanosBefore = EventLoopTime.cpuNanos();
    LoadResult throughResult = OpenLoop.run(callsPerSecond, length, 1, i -> through);
    double coreSeconds = (EventLoopTime.cpuNanos() - cpuNanosBefore) / 1e9;
    return new Row(
        share,
        callsPerSecond,
        directResult.latencyMillis(50),
        directResult.latencyMillis(99),
        throughResult.latencyMillis(50),
        throughResult.latencyMillis(99),
        throughResult.sentCount() - throughResult.servedCount(),
        throughResult.servedCount() / coreSeconds);
  }

  private void print(List<Row> rows) {
    out.printf(
        "%6s %9s %11s %11s %11s %11s %10s %7s %14s%n",
        "load",
        "calls/s",
        "direct p50",
        "direct p99",
        "daemon p50",
        "daemon p99",
        "added p99",
        "failed",
        "calls/s/core");
    for (Row r : rows) {
      out.printf(
          "%5.0f%% %9.0f %8.3f ms %8.3f ms %8.3f ms %8.3f ms %7.3f ms %7d %14.0f%n",
          r.loadShare * 100,
          r.callsPerSecond,
          r.directP50Millis,
          r.directP99Millis,
          r.daemonP50Millis,
          r.daemonP99Millis,
          r.addedP99Millis(),
          r.failed,
          r.callsPerCoreSecond);
    }
    out.printf("bound: %.1f ms added for 99 in 100 at 50%%%n", MAX_ADDED_P99_MILLIS);
  }

  private static Mono<Outcome> get(Caller c, Endpoint to) {
    return c.send(to, HttpMethod.GET, PATH, HEADERS);
  }

  private static String document() {
    return """
    name = "overhead"
    priorities = ["normal"]
    [zones.a]
    [zones.b]
    [accounts.bench]
    rate = 1000000
    burst = 1000000
    [[keys]]
    account = "bench"
    sha256 = "%s"
    [services.near]
    slots = 512
    cold_start_slots = 512
    [services.far]
    slots = 512
    cold_start_slots = 512
    [[routes]]
    name = "far"
    service = "far"
    methods = ["GET"]
    path = "/far/{id}"
    priority = "normal"
    idempotent = true
    """
        .formatted(ApiKeyDigest.of(KEY));
  }

  /**
   * Results of one load, a row of the table.
   *
   * @param loadShare load as a share of the throughput of the path
   * @param callsPerSecond calls per second
   * @param directP50Millis median latency of calls directly to the target, in milliseconds
   * @param directP99Millis 99th percentile of that latency, in milliseconds
   * @param daemonP50Millis median latency of calls through two daemons, in milliseconds
   * @param daemonP99Millis 99th percentile of that latency, in milliseconds
   * @param failed number of calls through the daemons that were not served
   * @param callsPerCoreSecond served calls per second of processor time of both daemons' event
   *     loops
   */
  public record Row(
      double loadShare,
      double callsPerSecond,
      double directP50Millis,
      double directP99Millis,
      double daemonP50Millis,
      double daemonP99Millis,
      long failed,
      double callsPerCoreSecond) {
    /** Returns the latency that the daemons add at the 99th percentile, in milliseconds. */
    public double addedP99Millis() {
      return daemonP99Millis - directP99Millis;
    }
  }
}
