package org.pomelohollow.bench.load;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongFunction;
import reactor.core.publisher.Mono;

/** Open-loop load: requests start at Poisson times, whether or not earlier ones have ended. */
public final class OpenLoop {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long SPIN_NANOS = 50_000;
  private static final Duration DRAIN = Duration.ofSeconds(30);

  private OpenLoop() {}

  /**
   * Runs a load to its end.
   *
   * @param ratePerSecond mean rate of arrivals
   * @param length time during which requests start
   * @param seed seed of the arrival times
   * @param request starts the request of a number
   * @return what was seen; latency counts from the intended start
   * @throws InterruptedException if interrupted
   */
  public static LoadResult run(
      double ratePerSecond, Duration length, long seed, LongFunction<Mono<Outcome>> request)
      throws InterruptedException {
    LoadResult result = new LoadResult();
    SplittableRandom random = new SplittableRandom(seed);
    AtomicLong open = new AtomicLong(1);
    CountDownLatch drained = new CountDownLatch(1);
    Runnable close =
        () -> {
          if (open.decrementAndGet() == 0) {
            drained.countDown();
          }
        };
    long start = System.nanoTime();
    double at = 0;
    for (long i = 0; at < length.toNanos(); i++) {
      long intended = start + (long) at;
      waitUntil(intended);
      open.incrementAndGet();
      result.sent();
      request
          .apply(i)
          .onErrorReturn(new Outcome(0, false))
          .doFinally(s -> close.run())
          .subscribe(o -> result.ended(o, System.nanoTime() - intended));
      at += -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / ratePerSecond;
    }
    close.run();
    drained.await(DRAIN.toMillis(), TimeUnit.MILLISECONDS);
    return result;
  }

  private static void waitUntil(long nanos) {
    long left = nanos - System.nanoTime();
    while (left > 0) {
      if (left > SPIN_NANOS) {
        LockSupport.parkNanos(left - SPIN_NANOS);
      } else {
        Thread.onSpinWait();
      }
      left = nanos - System.nanoTime();
    }
  }
}
