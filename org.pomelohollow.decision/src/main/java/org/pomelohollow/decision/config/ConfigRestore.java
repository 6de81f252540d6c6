package org.pomelohollow.decision.config;

import java.util.Objects;
import org.pomelohollow.message.LogEntry;

/**
 * Puts a document in force at a version chosen by the operator, after every daemon and every record
 * that knew the configuration were lost. It counts only if the version is above the one in force.
 *
 * @param changeId identifier of the change
 * @param version version that the document gets
 * @param text TOML text
 */
public record ConfigRestore(String changeId, long version, String text) implements LogEntry {
  /** Checks the fields. */
  public ConfigRestore {
    Objects.requireNonNull(changeId, "changeId");
    Objects.requireNonNull(text, "text");
  }
}
