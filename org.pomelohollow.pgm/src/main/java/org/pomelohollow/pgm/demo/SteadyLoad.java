package org.pomelohollow.pgm.demo;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntFunction;
import org.pomelohollow.pgm.demo.DemoHttp.Outcome;

/** Sends requests at a steady rate while something else happens. */
final class SteadyLoad implements AutoCloseable {
  private static final Duration READ_PERIOD = Duration.ofMillis(10);

  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final ConcurrentLinkedQueue<CompletableFuture<Outcome>> sent =
      new ConcurrentLinkedQueue<>();
  private int count;

  /**
   * Starts to send.
   *
   * @param period time between requests
   * @param request sends the request of a number
   */
  SteadyLoad(Duration period, IntFunction<CompletableFuture<Outcome>> request) {
    timer.scheduleAtFixedRate(
        () -> sent.add(request.apply(count++)), 0, period.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Starts to read a path of an account with much rate, through each of the entries in turn. */
  static SteadyLoad reads(List<DemoFleet.Host> entries, String path) {
    return new SteadyLoad(
        READ_PERIOD,
        i ->
            DemoHttp.send(
                DemoHttp.request(entries.get(i % entries.size()), "aserradero", path).build()));
  }

  /** Makes the line that says whether every request was served. */
  static Check allServed(String what, List<Outcome> all) {
    String observed = all.size() + " sent, first failure: " + failures(all);
    return new Check(what, observed, all.stream().allMatch(Outcome::isOk));
  }

  /** Stops to send and waits for all answers. */
  List<Outcome> finish() {
    close();
    return sent.stream().map(CompletableFuture::join).toList();
  }

  /** Describes the outcomes that are not 200. */
  static String failures(List<Outcome> all) {
    Function<Outcome, String> name = o -> o.status() + " " + o.verdict() + " " + o.body();
    return all.stream().filter(o -> !o.isOk()).map(name).findFirst().orElse("");
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
