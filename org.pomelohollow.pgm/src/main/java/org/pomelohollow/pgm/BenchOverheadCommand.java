package org.pomelohollow.pgm;

import java.time.Duration;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.bench.OverheadExperiment;

/** Measures the latency and processor time that two daemons add to a request. */
final class BenchOverheadCommand implements Command {
  private static final String SECONDS = "seconds";

  @Override
  public String name() {
    return "bench overhead";
  }

  @Override
  public String summary() {
    return "measure the latency and processor time that two daemons add to a request";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser
        .accepts(SECONDS, "length of each measurement, in seconds")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(5);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Logging.toStandardError("warn");
    Duration length = Duration.ofSeconds((Integer) options.valueOf(SECONDS));
    try {
      new OverheadExperiment(length, console.out()).run();
      return ExitCode.DONE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }
}
