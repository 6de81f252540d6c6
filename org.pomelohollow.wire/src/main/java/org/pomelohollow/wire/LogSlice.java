package org.pomelohollow.wire;

import java.util.List;

/**
 * Part of a stream.
 *
 * @param oldest oldest offset that is retained; equals {@code end} if none is
 * @param end offset that the next append gets
 * @param records records in order, possibly none
 */
public record LogSlice(long oldest, long end, List<Entry> records) {
  /** Copies the list. */
  public LogSlice {
    records = List.copyOf(records);
  }

  /**
   * A stored record.
   *
   * @param offset its offset
   * @param content its bytes
   */
  public record Entry(long offset, Bytes content) {}
}
