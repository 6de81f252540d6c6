package org.pomelohollow.bench.load;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Closed-loop load generator: a fixed number of callers, each of which sends its next request after
 * the response to the previous one.
 */
public final class ClosedLoop {
  private ClosedLoop() {}

  /**
   * Measures the throughput of a path.
   *
   * @param callers number of callers
   * @param length time during which requests are sent
   * @param request request that every caller repeats
   * @return served requests per second
   */
  public static double measureRate(int callers, Duration length, Mono<Outcome> request) {
    AtomicLong served = new AtomicLong();
    Mono<Outcome> counted =
        request.onErrorReturn(new Outcome(0, false)).doOnNext(o -> count(served, o));
    Flux.range(0, callers).flatMap(i -> counted.repeat(), callers).take(length).blockLast();
    return served.get() / (length.toNanos() / 1e9);
  }

  private static void count(AtomicLong served, Outcome o) {
    if (o.isServed()) {
      served.incrementAndGet();
    }
  }
}
