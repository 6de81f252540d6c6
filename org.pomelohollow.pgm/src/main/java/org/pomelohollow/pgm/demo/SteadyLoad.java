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

/** Sends requests at a constant rate on its own thread, until it is finished or closed. */
final class SteadyLoad implements AutoCloseable {
  private static final Duration READ_PERIOD = Duration.ofMillis(10);

  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final ConcurrentLinkedQueue<CompletableFuture<Outcome>> sent =
      new ConcurrentLinkedQueue<>();
  private int nextNumber;

  /**
   * Starts sending requests.
   *
   * @param period time between the starts of two requests
   * @param sender sends the request with the given number, counted from 0
   */
  SteadyLoad(Duration period, IntFunction<CompletableFuture<Outcome>> sender) {
    timer.scheduleAtFixedRate(
        () -> sent.add(sender.apply(nextNumber++)), 0, period.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Starts reading a path through each of the hosts in turn, for an account with a high rate. */
  static SteadyLoad startReads(List<DemoFleet.Host> entries, String path) {
    return new SteadyLoad(
        READ_PERIOD,
        i ->
            DemoHttp.send(
                DemoHttp.request(entries.get(i % entries.size()), "aserradero", path).build()));
  }

  /** Checks that every request was served. */
  static CheckResult checkAllServed(String expectation, List<Outcome> all) {
    String observed = all.size() + " sent, first failure: " + describeFirstFailure(all);
    return new CheckResult(expectation, observed, all.stream().allMatch(Outcome::isOk));
  }

  /** Stops sending, waits for the requests in flight and returns all outcomes. */
  List<Outcome> finish() {
    close();
    return sent.stream().map(CompletableFuture::join).toList();
  }

  /** Describes the first outcome with a status other than 200; empty if there is none. */
  static String describeFirstFailure(List<Outcome> all) {
    Function<Outcome, String> describe = o -> o.status() + " " + o.verdict() + " " + o.body();
    return all.stream().filter(o -> !o.isOk()).map(describe).findFirst().orElse("");
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
