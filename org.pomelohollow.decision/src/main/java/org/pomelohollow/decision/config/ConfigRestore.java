package org.pomelohollow.decision.config;

import java.util.Objects;
import org.pomelohollow.message.LogEntry;

/**
 * Log entry that activates a document at a version chosen by the operator, after all daemons and
 * log entries with the configuration were lost. It is rejected unless the version is above the
 * active one.
 *
 * @param changeId identifier of the change
 * @param version version that the document gets
 * @param text TOML text of the document
 */
public record ConfigRestore(String changeId, long version, String text) implements LogEntry {
  /** Checks the fields. */
  public ConfigRestore {
    Objects.requireNonNull(changeId, "changeId");
    Objects.requireNonNull(text, "text");
  }
}
