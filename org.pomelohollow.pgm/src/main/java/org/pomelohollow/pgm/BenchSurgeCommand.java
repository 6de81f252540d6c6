package org.pomelohollow.pgm;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.bench.overload.ModeResult;
import org.pomelohollow.bench.overload.Preset;
import org.pomelohollow.bench.overload.SurgeExperiment;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;

/** Compares the daemons with two baselines under a load of three times the capacity. */
final class BenchSurgeCommand implements Command {
  private static final String JSON = "json";

  @Override
  public String name() {
    return "bench surge";
  }

  @Override
  public String summary() {
    return "compare the daemons with two baselines at three times the capacity";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts(JSON, "file to write the results to, as JSON").withRequiredArg();
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Logging.toStandardError("error");
    try {
      List<ModeResult> results = new ArrayList<>();
      for (Preset p : List.of(Preset.DURMIENTES, Preset.BLUE_MAHOE)) {
        results.addAll(new SurgeExperiment(p, console.out()).run());
      }
      if (options.has(JSON)) {
        write(Path.of((String) options.valueOf(JSON)), results);
      }
      return ExitCode.DONE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }

  private static void write(Path file, List<ModeResult> results) {
    try {
      new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(file.toFile(), results);
    } catch (IOException e) {
      throw new PomelohollowException(
          ErrorCode.FILE_UNREADABLE, "file \"" + file + "\" cannot be written", e);
    }
  }
}
