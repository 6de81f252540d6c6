package org.pomelohollow.pgm;

import org.tinylog.configuration.Configuration;

/**
 * Configures tinylog: lines go to standard output from a thread of their own, so that nobody waits
 * for them. Must be called before the first log line.
 */
final class Logging {
  private Logging() {}

  static void setLevel(String level) {
    Configuration.set("writer", "console");
    Configuration.set("writer.stream", "out");
    Configuration.set("writingthread", "true");
    Configuration.set("writer.format", "{date:yyyy-MM-dd HH:mm:ss.SSS} {level} {message}");
    Configuration.set("level", level);
    Configuration.set("level@io.netty", "warn");
    Configuration.set("level@reactor", "warn");
  }
}
