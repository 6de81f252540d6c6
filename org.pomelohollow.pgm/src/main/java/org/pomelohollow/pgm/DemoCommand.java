package org.pomelohollow.pgm;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.pgm.demo.Demo;

/** Runs the demo: a small fleet on loopback, and scenarios that check its guarantees. */
final class DemoCommand implements Command {
  private static final String STAY = "stay";

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "run a small fleet on loopback and check its guarantees under load and faults";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts(
        STAY, "start the fleet only, print example requests and run until SIGINT or SIGTERM");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Logging.toStandardError("warn");
    try {
      Path directory = Files.createTempDirectory("pomelohollow-demo");
      Demo demo = new Demo(directory, console.out());
      boolean passed = options.has(STAY) ? demo.runUntilSignal(ShutdownSignal::await) : demo.run();
      return passed ? ExitCode.DONE : ExitCode.FAILED;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }
}
