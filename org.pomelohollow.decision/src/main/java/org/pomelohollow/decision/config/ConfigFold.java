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
 * Replays the configuration stream as a fold over its entries, in the order of their offsets. The
 * fold has a state only if it has read every entry from the start of the stream, or has adopted the
 * state of such a fold and read every entry after it. Without a state it accepts and rejects
 * nothing, apart from a restore: it searches for a checkpoint after whose state all entries can
 * still be read, or waits for the state of a peer.
 */
public final class ConfigFold {
  private final ConfigFoldListener listener;
  private Optional<ConfigState> state = Optional.of(ConfigState.INITIAL);
  private long searchStartOffset;
  private long nextOffset;

  /**
   * Creates a fold at the start of the stream.
   *
   * @param listener receives every decision
   */
  public ConfigFold(ConfigFoldListener listener) {
    this.listener = listener;
  }

  /** Returns the state, empty while the fold searches for one. */
  public Optional<ConfigState> state() {
    return state;
  }

  /** Returns the first offset that has not been read. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the offset from which on this fold reads every entry, as of its last search. */
  public long searchStartOffset() {
    return searchStartOffset;
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
   * Discards the state and starts to search for another one.
   *
   * @param offset oldest offset that can still be read
   */
  public void restartSearch(long offset) {
    state = Optional.empty();
    searchStartOffset = offset;
    nextOffset = offset;
  }

  /**
   * Applies the entries of a read. Entries that were applied before are skipped; a read that starts
   * after the next offset is ignored. If entries expired before they were read, the search for a
   * state starts again.
   *
   * @param read a read of the configuration stream
   */
  public void applyRead(Event.LogRead read) {
    if (read.oldestOffset() > nextOffset) {
      restartSearch(read.oldestOffset());
    }
    if (read.fromOffset() > nextOffset) {
      return;
    }
    for (StoredEntry e : read.entries()) {
      if (e.offset() >= nextOffset) {
        apply(e);
      }
      if (nextOffset <= e.offset()) {
        return; // Started from a checkpoint: the entries after its state must be read first.
      }
    }
  }

  private void apply(StoredEntry stored) {
    nextOffset = stored.offset() + 1;
    LogEntry entry = stored.entry().orElse(null);
    state = state.map(s -> s.atOffset(nextOffset));
    if (entry instanceof ConfigProposal p) {
      state.ifPresent(s -> applyProposal(s, p));
    } else if (entry instanceof ConfigRestore r) {
      applyRestore(r);
    } else if (entry instanceof ConfigCheckpoint c) {
      applyCheckpoint(c.state(), stored.offset());
    }
  }

  private void applyProposal(ConfigState s, ConfigProposal p) {
    if (s.versionOf(p.changeId()).isPresent()) {
      return;
    }
    if (p.baseVersion() != s.version()) {
      listener.onRejected(p.changeId(), ErrorCode.CONFIG_BASE_MISMATCH, s);
      return;
    }
    Optional<Document> d = validate(p.changeId(), p.text());
    if (d.isEmpty()) {
      listener.onRejected(p.changeId(), ErrorCode.CONFIG_INVALID, s);
      return;
    }
    accept(s.afterChange(p.changeId(), p.text()), d.get());
  }

  private void applyRestore(ConfigRestore r) {
    if (r.version() <= state.map(ConfigState::version).orElse(0L)) {
      state.ifPresent(s -> listener.onRejected(r.changeId(), ErrorCode.CONFIG_BASE_MISMATCH, s));
      return;
    }
    validate(r.changeId(), r.text())
        .ifPresent(d -> accept(ConfigState.afterRestore(r, nextOffset), d));
  }

  private void accept(ConfigState s, Document d) {
    state = Optional.of(s);
    listener.onAccepted(s, d);
  }

  /**
   * Starts from a checkpoint if the fold has no state and all entries after that state can be read.
   */
  private void applyCheckpoint(ConfigState c, long offset) {
    if (c.nextOffset() > offset) {
      return;
    }
    listener.onCheckpoint(c);
    if (state.isEmpty() && c.nextOffset() >= searchStartOffset) {
      readDocument(c.text()).ifPresent(d -> resume(c, d));
    }
  }

  private void resume(ConfigState c, Document d) {
    adopt(c);
    listener.onAccepted(c, d);
  }

  /** Returns the document of a change, empty if its text or the change identifier is not valid. */
  private static Optional<Document> validate(String changeId, String text) {
    return Names.isValid(changeId) ? readDocument(text) : Optional.empty();
  }

  /** Reads a TOML document. The result depends on the text alone, so that all folds agree on it. */
  static Optional<Document> readDocument(String text) {
    return DocumentReader.read("document", text).value();
  }
}
