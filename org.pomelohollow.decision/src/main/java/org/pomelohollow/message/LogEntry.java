package org.pomelohollow.message;

import java.util.Optional;

/**
 * A record of the platform log. Implementations are records like those of {@link PeerMessage}; each
 * is registered with the codec.
 */
public interface LogEntry {
  /** Returns a key if only the newest entry of the key matters, in a stream of such entries. */
  default Optional<String> key() {
    return Optional.empty();
  }
}
