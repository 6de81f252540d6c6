package org.pomelohollow.pgm;

import java.lang.reflect.Proxy;

/** Handlers of signals to the process. */
final class Signals {
  private Signals() {}

  /**
   * Installs a handler, by reflection, since the compiler warns of every direct use of the class.
   * Where there is no such class, the action runs when the process ends.
   *
   * @param name name of the signal without its prefix
   * @param action what to do, on a thread of its own
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
