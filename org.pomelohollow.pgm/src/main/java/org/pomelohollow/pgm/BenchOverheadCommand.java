package org.pomelohollow.pgm;

import java.time.Duration;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.bench.OverheadExperiment;

/** Measures what two daemons add to a call. */
final class BenchOverheadCommand implements Command {
  private static final String SECONDS = "seconds";

  @Override
  public String name() {
    return "bench overhead";
  }

  @Override
  public String summary() {
    return "measure what two daemons add to a call";
  }

  @Override
  public void declare(OptionParser parser) {
    parser
        .accepts(SECONDS, "length of each measurement")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(5);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Logging.setLevel("warn");
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
