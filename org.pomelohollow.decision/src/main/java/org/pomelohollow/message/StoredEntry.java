package org.pomelohollow.message;

import java.util.Objects;
import java.util.Optional;

/**
 * An entry at its place in a stream.
 *
 * @param offset position in the stream
 * @param entry the entry; empty if this version cannot decode it
 */
public record StoredEntry(long offset, Optional<LogEntry> entry) {
  /** Checks the fields. */
  public StoredEntry {
    Objects.requireNonNull(entry, "entry");
  }
}
