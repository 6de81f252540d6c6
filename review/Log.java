import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Log {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Log(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  double seconds(long nanos) {
    return (nanos - startNanos) / 1e9;
  }

  synchronized void line(String who, String what) {
    out.printf(Locale.ROOT, "%9.3f %-12s %s%n", seconds(System.nanoTime()), who, what);
    out.flush();
  }

  /** Writes a line also to standard output. */
  synchronized void result(String what) {
    line("result", what);
    System.out.println(what);
  }
}
