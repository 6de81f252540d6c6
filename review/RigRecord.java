package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with the time since its start. */
final class RigRecord implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  RigRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void line(String format, Object... args) {
    String text = String.format(format, args);
    out.printf("%9.3f s  %s%n", (System.nanoTime() - startNanos) / 1e9, text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
