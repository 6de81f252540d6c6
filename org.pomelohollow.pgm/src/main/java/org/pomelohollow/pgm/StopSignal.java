package org.pomelohollow.pgm;

import java.util.concurrent.CountDownLatch;

/** Waits for SIGTERM or SIGINT. */
final class StopSignal {
  private static final int SECOND_SIGNAL_STATUS = 143;

  private StopSignal() {}

  /**
   * Waits for a signal, then runs a graceful stop. A second signal ends the process at once.
   *
   * @param stop the graceful stop
   */
  static void await(Runnable stop) {
    CountDownLatch first = new CountDownLatch(1);
    Signals.handle("TERM", () -> receive(first));
    Signals.handle("INT", () -> receive(first));
    try {
      first.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    stop.run();
  }

  private static void receive(CountDownLatch first) {
    if (first.getCount() == 0) {
      Runtime.getRuntime().halt(SECOND_SIGNAL_STATUS);
    }
    first.countDown();
  }
}
