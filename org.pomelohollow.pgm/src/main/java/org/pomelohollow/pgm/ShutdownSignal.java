package org.pomelohollow.pgm;

import java.util.concurrent.CountDownLatch;

/** Waits for SIGTERM or SIGINT and then shuts the process down gracefully. */
final class ShutdownSignal {
  /** Exit status by which shells report an end by SIGTERM: 128 + 15. */
  private static final int SECOND_SIGNAL_STATUS = 143;

  private ShutdownSignal() {}

  /**
   * Blocks until a signal arrives, then runs a graceful shutdown. A second signal halts the process
   * immediately.
   *
   * @param shutdown runs the graceful shutdown, on the calling thread
   */
  static void await(Runnable shutdown) {
    CountDownLatch received = new CountDownLatch(1);
    Signals.handle("TERM", () -> onSignal(received));
    Signals.handle("INT", () -> onSignal(received));
    try {
      received.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    shutdown.run();
  }

  private static void onSignal(CountDownLatch received) {
    if (received.getCount() == 0) {
      Runtime.getRuntime().halt(SECOND_SIGNAL_STATUS);
    }
    received.countDown();
  }
}
