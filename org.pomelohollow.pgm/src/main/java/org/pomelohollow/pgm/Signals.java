package org.pomelohollow.pgm;

import java.lang.reflect.Proxy;

/** Installs handlers for signals to the process. */
final class Signals {
  private Signals() {}

  /**
   * Installs a handler for a signal. It uses {@code sun.misc.Signal} by reflection, because the
   * compiler warns about every direct use of that class. In a runtime without the class, the action
   * runs as a shutdown hook instead.
   *
   * @param name name of the signal without the prefix {@code SIG}
   * @param action run on a separate thread for each signal received
   */
  static void handle(String name, Runnable action) {
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
