package rig;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.nio.file.Path;

/** Runs a case: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
public final class RigMain {
  private static final int CASE_SECONDS = 115;

  private RigMain() {}

  /**
   * Runs a case.
   *
   * @param args name of the case's class, and its folder
   */
  public static void main(String[] args) {
    Thread timeout =
        new Thread(
            () -> {
              Rig.sleep(CASE_SECONDS * 1_000L);
              System.err.println("the case takes too long");
              System.exit(2);
            });
    timeout.setDaemon(true);
    timeout.start();
    int status;
    try {
      status = holds(args[0], Path.of(args[1])) ? 0 : 1;
    } catch (IOException | RuntimeException e) {
      e.printStackTrace();
      status = 2;
    }
    System.exit(status);
  }

  /** Calls the case's class, so that each case can be built without the others. */
  private static boolean holds(String name, Path folder) throws IOException {
    try {
      Class<?> c = Class.forName("rig." + name);
      return (boolean) c.getDeclaredMethod("holds", Path.class).invoke(null, folder);
    } catch (InvocationTargetException e) {
      throw new IOException("the case could not run", e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new IOException("there is no case " + name, e);
    }
  }
}
