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

/** A process of this program that the demo started. */
final class Child {
  private static final int STOP_SECONDS = 20;

  private final Process process;
  private final Map<String, Endpoint> addresses;

  private Child(Process process, Map<String, Endpoint> addresses) {
    this.process = process;
    this.addresses = addresses;
  }

  /**
   * Starts a process and reads the addresses that it prints.
   *
   * @param log file that takes its log lines
   * @param lines number of addresses that it prints
   * @param args subcommand and arguments
   * @return the running process
   */
  static Child start(Path log, int lines, List<String> args) {
    List<String> command = new ArrayList<>(List.of(java(), "-Xmx128m", "-XX:+UseSerialGC"));
    command.addAll(
        List.of("-XX:TieredStopAtLevel=1", "-cp", archive(), "org.pomelohollow.pgm.Main"));
    command.addAll(args);
    try {
      Process p =
          new ProcessBuilder(command)
              .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
      return new Child(p, readAddresses(p, lines));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns an address that the process printed.
   *
   * @param name its name, such as {@code callers}
   * @return the address
   */
  Endpoint address(String name) {
    return addresses.get(name);
  }

  /** Returns the process identifier. */
  long pid() {
    return process.pid();
  }

  /** Ends the process at once. */
  void kill() {
    process.destroyForcibly();
  }

  /** Asks the process to stop gracefully, and waits. */
  void stop() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
  }

  private static Map<String, Endpoint> readAddresses(Process p, int lines) throws IOException {
    Map<String, Endpoint> out = new HashMap<>();
    BufferedReader r =
        new BufferedReader(new InputStreamReader(p.getInputStream(), StandardCharsets.UTF_8));
    for (int i = 0; i < lines; i++) {
      String line = r.readLine();
      if (line == null) {
        throw new PomelohollowException(ErrorCode.INTERNAL, "a process of the demo did not start");
      }
      String[] words = line.split(" ", 2);
      out.put(words[0], Endpoint.parse(words[1]));
    }
    return out;
  }

  private static String java() {
    return System.getProperty("java.home") + File.separator + "bin" + File.separator + "java";
  }

  private static String archive() {
    try {
      return Path.of(Child.class.getProtectionDomain().getCodeSource().getLocation().toURI())
              .toString()
          + File.pathSeparator
          + System.getProperty("java.class.path");
    } catch (URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }
}
