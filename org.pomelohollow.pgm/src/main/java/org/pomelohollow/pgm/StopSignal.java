package org.pomelohollow.pgm;

import java.lang.reflect.Proxy;
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
    handle("TERM", () -> receive(first));
    handle("INT", () -> receive(first));
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

  /**
   * Installs a handler by reflection, since the compiler warns of every direct use of the class.
   */
  private static void handle(String name, Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (p, m, args) -> {
                action.run();
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
    } catch (ReflectiveOperationException e) {
      Runtime.getRuntime().addShutdownHook(new Thread(action));
    }
  }
}
