package org.pomelohollow.junit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;

/** Log of the members' stream, with outages and expired records. */
final class SimulatedLog {
  private final List<StoredEntry> records = new ArrayList<>();
  private boolean available = true;
  private long oldestOffset;

  /** Sets whether reads and appends succeed. */
  void setAvailable(boolean available) {
    this.available = available;
  }

  /** Expires all records, as the log's retention does. */
  void expire() {
    oldestOffset = records.size();
  }

  /** Reads on behalf of a daemon and returns the event to deliver to it. */
  Event read(SimulatedMember d) {
    if (!available) {
      return new Event.LogReadFailed(LogStream.MEMBERS);
    }
    long from = Math.max(d.nextOffset(), oldestOffset);
    List<StoredEntry> entries = records.subList((int) from, records.size());
    d.setNextOffset(records.size());
    return new Event.LogRead(LogStream.MEMBERS, from, entries, oldestOffset, records.size());
  }

  /** Appends an entry and returns the event to deliver to the daemon that appends it. */
  Event append(Effect.Append a) {
    if (available) {
      records.add(new StoredEntry(records.size(), Optional.of(a.entry())));
    }
    return new Event.AppendCompleted(
        a.appendId(), available ? Event.AppendOutcome.APPENDED : Event.AppendOutcome.FAILED);
  }
}
