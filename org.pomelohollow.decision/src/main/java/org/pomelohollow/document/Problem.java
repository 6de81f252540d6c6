package org.pomelohollow.document;

import java.util.Objects;
import org.pomelohollow.errors.ErrorCode;

/**
 * A mistake in a TOML file, with its position.
 *
 * @param file name of the file
 * @param key dotted key, empty if the problem concerns the whole file
 * @param line line number, starting at 1; 0 if unknown
 * @param code stable error code
 * @param message what is wrong
 */
public record Problem(String file, String key, int line, ErrorCode code, String message) {
  /** Creates a problem; no component may be null. */
  public Problem {
    Objects.requireNonNull(file, "file");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(message, "message");
  }

  /** Formats the problem as one line: {@code file:line: code key: message}. */
  @Override
  public String toString() {
    String location = line > 0 ? file + ":" + line : file;
    String subject = key.isEmpty() ? "" : " " + key;
    return location + ": " + code.id() + subject + ": " + message;
  }
}
