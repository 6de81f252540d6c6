package org.pomelohollow.decision.config;

import java.util.Objects;
import org.pomelohollow.message.LogEntry;

/**
 * Log entry with a copy of the fold's state, appended before the entries that led to it expire. A
 * reader without a state starts from it, and then folds the entries from the state's next offset on
 * again; a reader with a state ignores it.
 *
 * @param state state at an offset not after that of the checkpoint
 */
public record ConfigCheckpoint(ConfigState state) implements LogEntry {
  /** Checks the field. */
  public ConfigCheckpoint {
    Objects.requireNonNull(state, "state");
  }
}
