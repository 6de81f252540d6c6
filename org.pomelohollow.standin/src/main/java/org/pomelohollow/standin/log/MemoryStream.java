package org.pomelohollow.standin.log;

import java.util.ArrayList;
import java.util.List;
import org.pomelohollow.wire.Bytes;
import org.pomelohollow.wire.LogSlice;

/** One stream in memory. */
final class MemoryStream {
  private final List<LogSlice.EncodedEntry> records = new ArrayList<>();
  private long end;

  long append(byte[] content) {
    long offset = end++;
    records.add(new LogSlice.EncodedEntry(offset, Bytes.of(content)));
    return offset;
  }

  void retain(int most) {
    while (records.size() > most) {
      records.remove(0);
    }
  }

  LogSlice read(long from, int max) {
    List<LogSlice.EncodedEntry> out =
        records.stream().filter(r -> r.offset() >= from).limit(max).toList();
    return new LogSlice(oldest(), end, out);
  }

  private long oldest() {
    return records.isEmpty() ? end : records.get(0).offset();
  }
}
