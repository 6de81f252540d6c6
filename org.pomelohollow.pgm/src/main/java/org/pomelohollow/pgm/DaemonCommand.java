package org.pomelohollow.pgm;

import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.daemon.Daemon;
import org.pomelohollow.daemon.settings.Settings;
import org.pomelohollow.daemon.settings.SettingsReader;
import org.pomelohollow.document.Parsed;
import org.pomelohollow.platform.PlatformDeployment;
import org.tinylog.Logger;

/** Runs a daemon until it is told to stop. */
final class DaemonCommand implements Command {
  private static final String SETTINGS = "settings";

  @Override
  public String name() {
    return "daemon";
  }

  @Override
  public String summary() {
    return "run one daemon beside its target";
  }

  @Override
  public void declare(OptionParser parser) {
    parser.accepts(SETTINGS, "settings file (TOML)").withRequiredArg().required();
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Path file = Path.of((String) options.valueOf(SETTINGS));
    Parsed<Settings> s = new SettingsReader(System::getenv).read(file);
    if (s.value().isEmpty()) {
      s.problems().forEach(p -> console.err().println(p));
      return ExitCode.FAILED;
    }
    if (s.value().get().platform().isPresent()) {
      Logging.toStandardOutput(s.value().get().logLevel());
    } else {
      Logging.setLevel(s.value().get().logLevel());
    }
    Signals.handle("HUP", () -> checkAgain(file, s.value().get()));
    Daemon d = start(s.value().get());
    console.out().println("callers " + d.callerAddress());
    console.out().println("peers " + d.peerAddress());
    console.out().println("target " + d.targetAddress());
    console.out().println("admin " + d.adminAddress());
    console.out().flush();
    StopSignal.await(() -> d.shutdown().block());
    return ExitCode.DONE;
  }

  /** Reads the settings again and tells what is found; a running daemon keeps those it has. */
  private static void checkAgain(Path file, Settings inUse) {
    Parsed<Settings> now = new SettingsReader(System::getenv).read(file);
    now.problems().forEach(p -> Logger.warn("settings: {}", p));
    now.value()
        .ifPresent(
            v ->
                Logger.info(
                    "settings: read again on SIGHUP, {}",
                    v.equals(inUse) ? "unchanged" : "changed; in force from the next start on"));
  }

  private static Daemon start(Settings s) {
    return s.platform().isPresent() ? Daemon.start(s, new PlatformDeployment(s)) : Daemon.start(s);
  }
}
