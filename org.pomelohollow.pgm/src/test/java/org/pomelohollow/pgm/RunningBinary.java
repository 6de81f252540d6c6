package org.pomelohollow.pgm;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The built binary as a process. */
final class RunningBinary implements AutoCloseable {
  private static final int PATIENCE_SECONDS = 60;

  private final Process process;
  private final BufferedReader out;

  private RunningBinary(Process process) {
    this.process = process;
    this.out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
  }

  static RunningBinary start(String... args) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of("target", "pomelohollow").toAbsolutePath().toString());
    command.addAll(List.of(args));
    ProcessBuilder b = new ProcessBuilder(command);
    b.environment().put("POMELOHOLLOW_JAVA_OPTS", "-Xmx96m -XX:+UseSerialGC");
    return new RunningBinary(b.redirectError(ProcessBuilder.Redirect.DISCARD).start());
  }

  /** Runs the binary to its end. */
  static Ended run(String... args) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(Path.of("target", "pomelohollow").toAbsolutePath().toString());
    command.addAll(List.of(args));
    Path err = Files.createTempFile("pomelohollow", ".err");
    Process p = new ProcessBuilder(command).redirectError(err.toFile()).start();
    String out = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (!p.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS)) {
      p.destroyForcibly();
    }
    Ended e = new Ended(p.exitValue(), out, Files.readString(err));
    Files.delete(err);
    return e;
  }

  /** Reads a line of the form {@code name address} and returns the address. */
  String address(String name) throws IOException {
    String line = out.readLine();
    if (line == null || !line.startsWith(name + " ")) {
      throw new AssertionError("expected " + name + ", got " + line);
    }
    return line.substring(name.length() + 1);
  }

  /** Sends SIGHUP. */
  void hangUp() throws IOException, InterruptedException {
    String pid = Long.toString(process.pid());
    if (new ProcessBuilder("kill", "-HUP", pid).start().waitFor() != 0) {
      throw new AssertionError("no signal sent");
    }
  }

  /** Sends SIGTERM and returns the exit status. */
  int terminate() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS)) {
      throw new AssertionError("does not stop");
    }
    return process.exitValue();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }

  record Ended(int status, String out, String err) {}
}
