package org.pomelohollow.pgm;

import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.daemon.Daemon;
import org.pomelohollow.daemon.settings.Settings;
import org.pomelohollow.daemon.settings.SettingsReader;
import org.pomelohollow.document.ParseResult;
import org.pomelohollow.platform.PlatformDeployment;
import org.tinylog.Logger;

/** Runs a daemon until SIGTERM or SIGINT. On SIGHUP it checks the settings file again. */
final class DaemonCommand implements Command {
  private static final String SETTINGS = "settings";

  @Override
  public String name() {
    return "daemon";
  }

  @Override
  public String summary() {
    return "run the daemon of one host and its target";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts(SETTINGS, "settings file (TOML)").withRequiredArg().required();
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Path file = Path.of((String) options.valueOf(SETTINGS));
    ParseResult<Settings> parsed = new SettingsReader(System::getenv).read(file);
    if (parsed.value().isEmpty()) {
      parsed.problems().forEach(p -> console.err().println(p));
      return ExitCode.FAILED;
    }
    if (parsed.value().get().platform().isPresent()) {
      Logging.toStandardOutput(parsed.value().get().logLevel());
    } else {
      Logging.toStandardError(parsed.value().get().logLevel());
    }
    Signals.handle("HUP", () -> checkChangedSettings(file, parsed.value().get()));
    Daemon d = start(parsed.value().get());
    console.out().println("callers " + d.callerAddress());
    console.out().println("peers " + d.peerAddress());
    console.out().println("target " + d.targetAddress());
    console.out().println("admin " + d.adminAddress());
    console.out().flush();
    ShutdownSignal.await(() -> d.shutdown().block());
    return ExitCode.DONE;
  }

  /**
   * Reads the settings file again and logs its errors and whether it differs from the active
   * settings. A running daemon keeps the settings that it was started with.
   */
  private static void checkChangedSettings(Path file, Settings active) {
    ParseResult<Settings> reread = new SettingsReader(System::getenv).read(file);
    reread.problems().forEach(p -> Logger.warn("settings: {}", p));
    reread
        .value()
        .ifPresent(
            v ->
                Logger.info(
                    "settings: read again on SIGHUP, {}",
                    v.equals(active) ? "unchanged" : "changed; takes effect at the next start"));
  }

  private static Daemon start(Settings s) {
    return s.platform().isPresent() ? Daemon.start(s, new PlatformDeployment(s)) : Daemon.start(s);
  }
}
