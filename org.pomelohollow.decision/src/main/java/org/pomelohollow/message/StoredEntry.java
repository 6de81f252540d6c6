package org.pomelohollow.message;

import java.util.Objects;
import java.util.Optional;

/**
 * An entry read from a stream of the log, with its offset.
 *
 * @param offset offset of the entry in the stream
 * @param entry the entry; empty if this version cannot decode it
 */
public record StoredEntry(long offset, Optional<LogEntry> entry) {
  /** Creates a stored entry; no component may be null. */
  public StoredEntry {
    Objects.requireNonNull(entry, "entry");
  }
}
