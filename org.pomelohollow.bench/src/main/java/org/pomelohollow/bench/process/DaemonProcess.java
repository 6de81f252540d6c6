package org.pomelohollow.bench.process;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.platform.standin.HostSettings;
import org.pomelohollow.platform.standin.PlatformTargetStandIn;

/** A daemon in a process of its own, with a target in this process. */
final class DaemonProcess implements AutoCloseable {
  private static final String SECRET = "a secret of the experiment";
  private static final int STOP_TIMEOUT_SECONDS = 20;
  private static final long BYTES_PER_KIB = 1_024;

  private final PlatformTargetStandIn target;
  private final HostSettings settings;
  private final Process process;

  /**
   * Starts a daemon and its target.
   *
   * @param directory directory for its settings and its log
   * @param name host of the daemon
   * @param service service of the target
   * @param store address of the platform's store
   * @param javaOptions options of the Java virtual machine, with the program's class path or jar
   */
  DaemonProcess(
      Path directory, String name, String service, Endpoint store, List<String> javaOptions) {
    target = new PlatformTargetStandIn("i-" + name, service, 1);
    settings = HostSettings.onFreePorts(name, service, store);
    try {
      Path file = Files.writeString(directory.resolve(name + ".toml"), settings.text());
      List<String> command = new ArrayList<>();
      command.add(
          System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
      command.addAll(javaOptions);
      command.addAll(List.of("daemon", "--settings", file.toString()));
      ProcessBuilder b = new ProcessBuilder(command);
      b.environment().put(HostSettings.SECRET_VARIABLE, SECRET);
      process =
          b.redirectErrorStream(true)
              .redirectOutput(directory.resolve(name + ".log").toFile())
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  Endpoint callerAddress() {
    return settings.caller();
  }

  /** Sends a heartbeat of the target; returns whether the daemon acknowledged it. */
  boolean announceTarget() {
    try {
      return target.sendHeartbeat(settings.target(), "ready", 0) == 200;
    } catch (UncheckedIOException e) {
      return false; // The daemon does not listen yet.
    }
  }

  /** Returns the processor time that the process has used. */
  Duration processorTime() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /** Returns the largest resident memory of the process so far, in bytes. Works on Linux only. */
  long peakMemoryBytes() {
    try (Stream<String> lines =
        Files.lines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
      return lines
          .filter(l -> l.startsWith("VmHWM:"))
          .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) * BYTES_PER_KIB)
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    target.close();
    process.destroy();
    try {
      if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
