package org.pomelohollow.wire;

import java.util.List;

/**
 * Records of a stream of the log that a read returns, and the range of retained offsets.
 *
 * @param oldestOffset offset of the oldest record that the log retains; equals {@code endOffset} if
 *     there is none
 * @param endOffset offset of the next record to be appended
 * @param records records in the order of their offsets, possibly none
 */
public record LogSlice(long oldestOffset, long endOffset, List<EncodedEntry> records) {
  /** Creates a slice with an immutable copy of the records. */
  public LogSlice {
    records = List.copyOf(records);
  }

  /**
   * A record of the log: an encoded entry and its offset.
   *
   * @param offset offset of the record in the stream
   * @param content bytes of the encoded entry
   */
  public record EncodedEntry(long offset, Bytes content) {}
}
