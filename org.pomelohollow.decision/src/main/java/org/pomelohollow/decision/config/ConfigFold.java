package org.pomelohollow.decision.config;

import java.util.Optional;
import org.pomelohollow.decision.Event;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.DocumentReader;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Names;

/**
 * Folds the configuration stream in the order of its offsets. The fold has a state only if it read
 * every record from the start of the stream, or took the state of such a fold and every record
 * after it. Without one it decides nothing: it reads on for a checkpoint whose offset it can still
 * read, or waits for the state of a peer.
 */
public final class ConfigFold {
  private final ConfigFoldListener listener;
  private Optional<ConfigState> state = Optional.of(ConfigState.GENESIS);
  private long searchStart;
  private long nextOffset;

  /**
   * Creates a fold at the start of the stream.
   *
   * @param listener told of every decision
   */
  public ConfigFold(ConfigFoldListener listener) {
    this.listener = listener;
  }

  /** Returns the state, empty while the fold looks for one. */
  public Optional<ConfigState> state() {
    return state;
  }

  /** Returns the first offset that has not been read. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the first offset from which the records that this fold can read are complete. */
  public long searchStart() {
    return searchStart;
  }

  /**
   * Continues from the state of another fold.
   *
   * @param s state of a fold over the same stream
   */
  public void adopt(ConfigState s) {
    state = Optional.of(s);
    nextOffset = s.nextOffset();
  }

  /**
   * Gives up the state and looks for another one.
   *
   * @param offset oldest offset that can be read
   */
  public void search(long offset) {
    state = Optional.empty();
    searchStart = offset;
    nextOffset = offset;
  }

  /**
   * Folds a read. Records that were read before are passed over; a read that begins beyond the next
   * offset is ignored as a whole.
   *
   * @param read a read of the configuration stream
   */
  public void read(Event.LogRead read) {
    if (read.oldestOffset() > nextOffset) {
      search(read.oldestOffset());
    }
    if (read.fromOffset() > nextOffset) {
      return;
    }
    for (StoredEntry e : read.entries()) {
      if (e.offset() >= nextOffset) {
        step(e);
      }
      if (nextOffset <= e.offset()) {
        return; // Started from a checkpoint: the records after its state come first.
      }
    }
  }

  private void step(StoredEntry stored) {
    nextOffset = stored.offset() + 1;
    LogEntry entry = stored.entry().orElse(null);
    state = state.map(s -> s.at(nextOffset));
    if (entry instanceof ConfigProposal p) {
      state.ifPresent(s -> decide(s, p));
    } else if (entry instanceof ConfigRestore r) {
      restore(r);
    } else if (entry instanceof ConfigCheckpoint c) {
      checkpoint(c.state(), stored.offset());
    }
  }

  private void decide(ConfigState s, ConfigProposal p) {
    if (s.versionOf(p.changeId()).isPresent()) {
      return;
    }
    if (p.baseVersion() != s.version()) {
      listener.rejected(p.changeId(), ErrorCode.CONFIG_BASE_MISMATCH, s);
      return;
    }
    Optional<Document> d = validate(p.changeId(), p.text());
    if (d.isEmpty()) {
      listener.rejected(p.changeId(), ErrorCode.CONFIG_INVALID, s);
      return;
    }
    accept(s.after(p.changeId(), p.text()), d.get());
  }

  private void restore(ConfigRestore r) {
    if (r.version() <= state.map(ConfigState::version).orElse(0L)) {
      state.ifPresent(s -> listener.rejected(r.changeId(), ErrorCode.CONFIG_BASE_MISMATCH, s));
      return;
    }
    validate(r.changeId(), r.text()).ifPresent(d -> accept(ConfigState.restored(r, nextOffset), d));
  }

  private void accept(ConfigState s, Document d) {
    state = Optional.of(s);
    listener.accepted(s, d);
  }

  /** Starts from a checkpoint if all records after its state can still be read. */
  private void checkpoint(ConfigState c, long offset) {
    if (c.nextOffset() > offset) {
      return;
    }
    listener.checkpoint(c);
    if (state.isEmpty() && c.nextOffset() >= searchStart) {
      document(c.text()).ifPresent(d -> resume(c, d));
    }
  }

  private void resume(ConfigState c, Document d) {
    adopt(c);
    listener.accepted(c, d);
  }

  private static Optional<Document> validate(String changeId, String text) {
    return Names.isValid(changeId) ? document(text) : Optional.empty();
  }

  /** Reads a document; the outcome depends on the text alone. */
  static Optional<Document> document(String text) {
    return DocumentReader.read("document", text).value();
  }
}
