package org.pomelohollow.message;

import java.util.Optional;

/**
 * A decoded entry of the platform log. As for {@link PeerMessage}, implementations are records that
 * the codec registers.
 */
public interface LogEntry {
  /**
   * Returns the compaction key of the entry: in its stream, only the newest entry of each key
   * matters.
   *
   * @return the key; empty if the entry is not superseded by later ones
   */
  default Optional<String> key() {
    return Optional.empty();
  }
}
