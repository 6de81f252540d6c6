package org.pomelohollow.decision.config;

import java.util.Objects;
import org.pomelohollow.message.LogEntry;

/**
 * A copy of the fold's state, appended before the records that led to it expire. A reader that has
 * no state starts from it and folds the records between the state's offset and the checkpoint once
 * more; a reader that has a state ignores it.
 *
 * @param state state at an offset up to that of the checkpoint
 */
public record ConfigCheckpoint(ConfigState state) implements LogEntry {
  /** Checks the field. */
  public ConfigCheckpoint {
    Objects.requireNonNull(state, "state");
  }
}
