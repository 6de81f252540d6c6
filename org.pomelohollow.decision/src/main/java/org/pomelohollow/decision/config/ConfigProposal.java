package org.pomelohollow.decision.config;

import java.util.Objects;
import org.pomelohollow.message.LogEntry;

/**
 * A document that an operator published.
 *
 * @param changeId identifier of the change; a repeat of an accepted one changes nothing
 * @param baseVersion version that the operator started from, 0 for the first document
 * @param text TOML text
 */
public record ConfigProposal(String changeId, long baseVersion, String text) implements LogEntry {
  /** Checks the fields. */
  public ConfigProposal {
    Objects.requireNonNull(changeId, "changeId");
    Objects.requireNonNull(text, "text");
  }
}
