package org.pomelohollow.pgm;

import org.tinylog.configuration.Configuration;

/**
 * Configures tinylog. Lines are written by a thread of their own, so that nobody waits for them.
 * Must be called before the first log line.
 */
final class Logging {
  private Logging() {}

  /** Writes log lines to standard error, beside what a command prints. */
  static void setLevel(String level) {
    configure(level, "err");
  }

  /** Writes log lines to standard output, where the users' platform collects them. */
  static void toStandardOutput(String level) {
    configure(level, "out");
  }

  private static void configure(String level, String stream) {
    Configuration.set("writer", "console");
    Configuration.set("writer.stream", stream);
    Configuration.set("writer.format", "{date:yyyy-MM-dd HH:mm:ss.SSS} {level} {message}");
    Configuration.set("writingthread", "true");
    Configuration.set("level", level);
    Configuration.set("level@io.netty", "warn");
    Configuration.set("level@reactor", "warn");
  }
}
