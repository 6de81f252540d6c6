package org.pomelohollow.wire;

import java.util.List;

/**
 * Records of a stream of the log that a read returns, and the range of retained offsets.
 *
 * @param oldest offset of the oldest record that the log retains; equals {@code end} if there is
 *     none
 * @param end offset of the next record to be appended
 * @param records records in the order of their offsets, possibly none
 */
public record LogSlice(long oldest, long end, List<Entry> records) {
  /** Creates a slice with an immutable copy of the records. */
  public LogSlice {
    records = List.copyOf(records);
  }

  /**
   * A stored record with its offset.
   *
   * @param offset offset of the record in the stream
   * @param content encoded record
   */
  public record Entry(long offset, Bytes content) {}
}
