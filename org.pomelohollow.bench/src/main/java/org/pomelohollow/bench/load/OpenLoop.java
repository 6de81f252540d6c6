package org.pomelohollow.bench.load;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongFunction;
import reactor.core.publisher.Mono;

/**
 * Open-loop load generator: requests start as a Poisson process, whether or not earlier ones have
 * completed.
 */
public final class OpenLoop {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Time before a start that is spent spinning, since parking may overshoot. */
  private static final long SPIN_NANOS = 50_000;

  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(30);

  private OpenLoop() {}

  /**
   * Sends the requests of a load and waits up to 30 s for those in flight.
   *
   * @param ratePerSecond mean arrival rate, in requests per second
   * @param length time during which requests start
   * @param seed seed of the arrival times
   * @param request returns the request with the given number, counted from 0
   * @return the outcomes; latency is measured from the intended start, so that a late sender does
   *     not hide it
   * @throws InterruptedException if the thread is interrupted
   */
  public static LoadResult run(
      double ratePerSecond, Duration length, long seed, LongFunction<Mono<Outcome>> request)
      throws InterruptedException {
    LoadResult result = new LoadResult();
    SplittableRandom random = new SplittableRandom(seed);
    AtomicLong inFlight = new AtomicLong(1);
    CountDownLatch drained = new CountDownLatch(1);
    Runnable complete =
        () -> {
          if (inFlight.decrementAndGet() == 0) {
            drained.countDown();
          }
        };
    long startNanos = System.nanoTime();
    double offsetNanos = 0;
    for (long i = 0; offsetNanos < length.toNanos(); i++) {
      long intendedNanos = startNanos + (long) offsetNanos;
      waitUntil(intendedNanos);
      inFlight.incrementAndGet();
      result.recordSent();
      request
          .apply(i)
          .onErrorReturn(new Outcome(0, false))
          .doFinally(s -> complete.run())
          .subscribe(o -> result.recordOutcome(o, System.nanoTime() - intendedNanos));
      offsetNanos += -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / ratePerSecond;
    }
    complete.run();
    drained.await(DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    return result;
  }

  private static void waitUntil(long nanos) {
    long remainingNanos = nanos - System.nanoTime();
    while (remainingNanos > 0) {
      if (remainingNanos > SPIN_NANOS) {
        LockSupport.parkNanos(remainingNanos - SPIN_NANOS);
      } else {
        Thread.onSpinWait();
      }
      remainingNanos = nanos - System.nanoTime();
    }
  }
}
