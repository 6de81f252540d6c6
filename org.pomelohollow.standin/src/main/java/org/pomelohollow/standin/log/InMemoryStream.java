package org.pomelohollow.standin.log;

import java.util.ArrayList;
import java.util.List;
import org.pomelohollow.wire.Bytes;
import org.pomelohollow.wire.LogSlice;

/** A stream of the log, held in memory. Not thread-safe. */
final class InMemoryStream {
  private final List<LogSlice.EncodedEntry> records = new ArrayList<>();
  private long endOffset;

  /** Appends a record and returns its offset. */
  long append(byte[] content) {
    long offset = endOffset++;
    records.add(new LogSlice.EncodedEntry(offset, Bytes.of(content)));
    return offset;
  }

  /** Drops the oldest records so that at most the given number remains. */
  void trimTo(int maxRecords) {
    while (records.size() > maxRecords) {
      records.remove(0);
    }
  }

  /** Returns up to {@code max} records from an offset on, with the limits of the stream. */
  LogSlice read(long from, int max) {
    List<LogSlice.EncodedEntry> found =
        records.stream().filter(r -> r.offset() >= from).limit(max).toList();
    return new LogSlice(oldestOffset(), endOffset, found);
  }

  private long oldestOffset() {
    return records.isEmpty() ? endOffset : records.get(0).offset();
  }
}
