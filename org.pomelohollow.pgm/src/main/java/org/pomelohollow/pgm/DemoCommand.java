package org.pomelohollow.pgm;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.pgm.demo.Demo;

/** Runs the demo. */
final class DemoCommand implements Command {
  private static final String STAY = "stay";

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "run a small fleet on loopback and drive it through what must hold";
  }

  @Override
  public void declare(OptionParser parser) {
    parser.accepts(STAY, "leave the fleet up and print how to try it");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Logging.setLevel("warn");
    try {
      Path directory = Files.createTempDirectory("pomelohollow-demo");
      Demo demo = new Demo(directory, console.out());
      boolean ok = options.has(STAY) ? demo.stay(StopSignal::await) : demo.run();
      return ok ? ExitCode.DONE : ExitCode.FAILED;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }
}
