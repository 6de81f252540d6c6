package org.pomelohollow.document;

import java.util.Objects;
import org.pomelohollow.errors.ErrorCode;

/**
 * A mistake in a TOML file.
 *
 * @param file name of the file
 * @param key dotted key, empty if the file as a whole is meant
 * @param line line from 1, 0 if unknown
 * @param code stable code
 * @param message what is wrong
 */
public record Problem(String file, String key, int line, ErrorCode code, String message) {
  /** Checks the fields. */
  public Problem {
    Objects.requireNonNull(file, "file");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(message, "message");
  }

  /** Returns one line: {@code file:line: code key: message}. */
  @Override
  public String toString() {
    String place = line > 0 ? file + ":" + line : file;
    String subject = key.isEmpty() ? "" : " " + key;
    return place + ": " + code.id() + subject + ": " + message;
  }
}
