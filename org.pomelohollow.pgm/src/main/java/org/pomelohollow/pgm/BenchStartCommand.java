package org.pomelohollow.pgm;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.bench.process.FreshProcessExperiment;

/** Measures the processor time of daemons from the start of their processes on. */
final class BenchStartCommand implements Command {
  private static final String JAVA_OPTIONS = "java-options";
  private static final String RATE = "rate";
  private static final String SECONDS = "seconds";
  private static final String MEASUREMENTS = "measurements";
  private static final String DEFAULT_JAVA_OPTIONS =
      "-Xmx160m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar target/pomelohollow.jar";

  @Override
  public String name() {
    return "bench start";
  }

  @Override
  public String summary() {
    return "measure the processor time of daemons that have just started";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser
        .accepts(JAVA_OPTIONS, "options of the daemons' Java virtual machines, with the jar")
        .withRequiredArg()
        .defaultsTo(DEFAULT_JAVA_OPTIONS);
    parser
        .accepts(RATE, "requests per second")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(200);
    parser
        .accepts(SECONDS, "length of each measurement, in seconds")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(10);
    parser
        .accepts(MEASUREMENTS, "number of measurements under load")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(3);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Logging.toStandardError("warn");
    List<String> javaOptions = List.of(((String) options.valueOf(JAVA_OPTIONS)).split(" ", -1));
    Duration length = Duration.ofSeconds((Integer) options.valueOf(SECONDS));
    try {
      Path directory = Files.createTempDirectory("pomelohollow-start");
      new FreshProcessExperiment(
              directory, javaOptions, (Integer) options.valueOf(RATE), length, console.out())
          .run((Integer) options.valueOf(MEASUREMENTS));
      return ExitCode.DONE;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }
}
