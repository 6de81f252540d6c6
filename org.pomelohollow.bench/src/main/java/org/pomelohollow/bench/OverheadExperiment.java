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
 * Latency that two daemons add to a call, and what they cost, against calls straight to a target.
 */
public final class OverheadExperiment {
  private static final double[] SHARES = {0.1, 0.5, 0.8};
  private static final int SLOTS = 512;
  private static final int CALLERS = 64;
  private static final double BOUND_MILLIS = 1.5;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final String KEY = "bench-key";
  private static final String PATH = "/far/x";
  private static final Map<String, String> HEADERS = Map.of("Authorization", "Bearer " + KEY);

  private final Duration warmUp;
  private final Duration length;
  private final PrintStream out;

  /**
   * Creates an experiment.
   *
   * @param length length of each measurement
   * @param out takes the table
   */
  public OverheadExperiment(Duration length, PrintStream out) {
    this.length = length;
    this.warmUp = length;
    this.out = out;
  }

  /**
   * Runs the experiment.
   *
   * @return the rows, one for each share of what the path carries
   * @throws InterruptedException if interrupted
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
          "the path", () -> through.onErrorReturn(new Outcome(0, false)).block().isServed());
      ClosedLoop.rate(CALLERS, warmUp, through);
      ClosedLoop.rate(CALLERS, warmUp, direct);
      double carried = ClosedLoop.rate(CALLERS, length, through);
      out.printf("the path through two daemons carries %.0f calls/s%n", carried);
      List<Row> rows = new ArrayList<>();
      for (double share : SHARES) {
        rows.add(row(share, share * carried, direct, through));
      }
      print(rows);
      return rows;
    }
  }

  private Row row(double share, double rate, Mono<Outcome> direct, Mono<Outcome> through)
      throws InterruptedException {
    LoadResult d = OpenLoop.run(rate, length, 1, i -> direct);
    long before = EventLoopTime.nanos();
    LoadResult t = OpenLoop.run(rate, length, 1, i -> through);
    double coreSeconds = (EventLoopTime.nanos() - before) / 1e9;
    return new Row(
        share,
        rate,
        d.latencyMillis(50),
        d.latencyMillis(99),
        t.latencyMillis(50),
        t.latencyMillis(99),
        t.sentCount() - t.servedCount(),
        t.servedCount() / coreSeconds);
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
          r.share * 100,
          r.rate,
          r.directP50,
          r.directP99,
          r.daemonP50,
          r.daemonP99,
          r.addedP99(),
          r.failed,
          r.callsPerCore);
    }
    out.printf("bound: %.1f ms added for 99 in 100 at 50%%%n", BOUND_MILLIS);
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
   * One load.
   *
   * @param share share of what the path carries
   * @param rate calls per second
   * @param directP50 median straight to the target, in milliseconds
   * @param directP99 99th percentile straight to the target, in milliseconds
   * @param daemonP50 median through two daemons, in milliseconds
   * @param daemonP99 99th percentile through two daemons, in milliseconds
   * @param failed calls not served
   * @param callsPerCore calls per second and core of the two daemons together
   */
  public record Row(
      double share,
      double rate,
      double directP50,
      double directP99,
      double daemonP50,
      double daemonP99,
      long failed,
      double callsPerCore) {
    /** Returns the difference of the 99th percentiles, in milliseconds. */
    public double addedP99() {
      return daemonP99 - directP99;
    }
  }
}
