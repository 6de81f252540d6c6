package org.pomelohollow.decision.config;

import java.util.Objects;
import org.pomelohollow.message.LogEntry;

/**
 * Log entry that proposes a document published by an operator. It is accepted only if the version
 * at its place in the log is its base and the document is valid.
 *
 * @param changeId identifier of the change; a further proposal of an accepted change has no effect
 * @param baseVersion version that the operator started from, 0 for the first document
 * @param text TOML text of the document
 */
public record ConfigProposal(String changeId, long baseVersion, String text) implements LogEntry {
  /** Checks the fields. */
  public ConfigProposal {
    Objects.requireNonNull(changeId, "changeId");
    Objects.requireNonNull(text, "text");
  }
}
