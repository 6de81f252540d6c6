package org.pomelohollow.pgm;

import org.tinylog.configuration.Configuration;

/**
 * Configures tinylog. A separate thread writes the log lines, so that event loops never block on
 * output. The configuration must be set before the first log line.
 */
final class Logging {
  private Logging() {}

  /** Sends log lines to standard error, which keeps them apart from the output of commands. */
  static void toStandardError(String level) {
    configure(level, "err");
  }

  /** Sends log lines to standard output, from which the users' platform collects them. */
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
