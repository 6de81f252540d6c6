import java.io.Closeable;
import java.io.IOException;

/** Threads of the stand-ins. */
final class Threads {
  private Threads() {}

  /** A task that may throw. */
  interface Task {
    void run() throws Exception;
  }

  static void start(Task task) {
    Thread t =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // A connection or process of the test has ended.
              }
            });
    t.setDaemon(true);
    t.start();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void close(Closeable c) {
    try {
      c.close();
    } catch (IOException e) {
      // Closed already.
    }
  }
}
