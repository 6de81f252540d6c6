package org.pomelohollow.pgm.demo;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;

/** A child process that runs a subcommand of this program. */
final class ChildProcess {
  private static final int STOP_TIMEOUT_SECONDS = 20;

  private final Process process;
  private final Map<String, Endpoint> addresses;

  private ChildProcess(Process process, Map<String, Endpoint> addresses) {
    this.process = process;
    this.addresses = addresses;
  }

  /**
   * Starts a process and reads the addresses that it prints.
   *
   * @param log file to which its log lines are appended
   * @param addressCount number of lines {@code name address} that it prints once it is ready
   * @param args subcommand and its arguments
   * @return the running process
   */
  static ChildProcess start(Path log, int addressCount, List<String> args) {
    List<String> command =
        new ArrayList<>(List.of(javaExecutable(), "-Xmx128m", "-XX:+UseSerialGC"));
    command.addAll(
        List.of("-XX:TieredStopAtLevel=1", "-cp", classPath(), "org.pomelohollow.pgm.Main"));
    command.addAll(args);
    try {
      Process p =
          new ProcessBuilder(command)
              .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
      return new ChildProcess(p, readAddresses(p, addressCount));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns an address that the process printed.
   *
   * @param name name of the address, such as {@code callers}
   * @return the address
   */
  Endpoint address(String name) {
    return addresses.get(name);
  }

  /** Returns the process identifier. */
  long pid() {
    return process.pid();
  }

  /** Kills the process without a graceful shutdown. */
  void kill() {
    process.destroyForcibly();
  }

  /** Shuts the process down gracefully, and kills it if it has not ended after 20 s. */
  void stop() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
  }

  private static Map<String, Endpoint> readAddresses(Process p, int count) throws IOException {
    Map<String, Endpoint> found = new HashMap<>();
    BufferedReader r =
        new BufferedReader(new InputStreamReader(p.getInputStream(), StandardCharsets.UTF_8));
    for (int i = 0; i < count; i++) {
      String line = r.readLine();
      if (line == null) {
        throw new PomelohollowException(
            ErrorCode.INTERNAL,
            "process " + p.pid() + " of the demo ended before it printed its addresses");
      }
      String[] words = line.split(" ", 2);
      found.put(words[0], Endpoint.parse(words[1]));
    }
    return found;
  }

  private static String javaExecutable() {
    return System.getProperty("java.home") + File.separator + "bin" + File.separator + "java";
  }

  private static String classPath() {
    try {
      return Path.of(ChildProcess.class.getProtectionDomain().getCodeSource().getLocation().toURI())
              .toString()
          + File.pathSeparator
          + System.getProperty("java.class.path");
    } catch (URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }
}
