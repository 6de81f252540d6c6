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

/** A process that runs the built binary. */
final class RunningBinary implements AutoCloseable {
  private static final int TIMEOUT_SECONDS = 60;

  private final Process process;
  private final BufferedReader out;

  private RunningBinary(Process process) {
    this.process = process;
    this.out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
  }

  /** Starts the binary; its standard error is discarded. */
  static RunningBinary start(String... args) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of("target", "pomelohollow").toAbsolutePath().toString());
    command.addAll(List.of(args));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("POMELOHOLLOW_JAVA_OPTS", "-Xmx96m -XX:+UseSerialGC");
    return new RunningBinary(builder.redirectError(ProcessBuilder.Redirect.DISCARD).start());
  }

  /** Runs the binary until it ends and returns its exit status and output. */
  static Result run(String... args) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(Path.of("target", "pomelohollow").toAbsolutePath().toString());
    command.addAll(List.of(args));
    Path err = Files.createTempFile("pomelohollow", ".err");
    Process p = new ProcessBuilder(command).redirectError(err.toFile()).start();
    String out = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (!p.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      p.destroyForcibly();
    }
    Result result = new Result(p.exitValue(), out, Files.readString(err));
    Files.delete(err);
    return result;
  }

  /** Reads the next output line, of the form {@code name address}, and returns the address. */
  String address(String name) throws IOException {
    String line = out.readLine();
    if (line == null || !line.startsWith(name + " ")) {
      throw new AssertionError("expected a line \"" + name + " ADDRESS\", got " + line);
    }
    return line.substring(name.length() + 1);
  }

  /** Sends SIGHUP. */
  void sendHangUp() throws IOException, InterruptedException {
    String pid = Long.toString(process.pid());
    if (new ProcessBuilder("kill", "-HUP", pid).start().waitFor() != 0) {
      throw new AssertionError("SIGHUP could not be sent to process " + pid);
    }
  }

  /** Sends SIGTERM and returns the exit status. */
  int terminate() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new AssertionError("process " + process.pid() + " did not stop within 60 s of SIGTERM");
    }
    return process.exitValue();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }

  /** Exit status and output of a process that has ended. */
  record Result(int status, String out, String err) {}
}
