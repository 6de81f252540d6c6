package org.pomelohollow.decision.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Result of folding the configuration stream up to an offset. Every reader that knows the state at
 * an offset knows the same one.
 *
 * @param version number of accepted changes, 0 if none
 * @param text TOML text in force, empty at version 0
 * @param changeIds identifiers of the last accepted changes, the newest last; bounded
 * @param nextOffset offset of the first record that is not folded in
 */
public record ConfigState(long version, String text, List<String> changeIds, long nextOffset) {
  /** Most identifiers of accepted changes that are remembered. */
  public static final int MAX_CHANGE_IDS = 256;

  /** State before the first record of the stream. */
  public static final ConfigState GENESIS = new ConfigState(0, "", List.of(), 0);

  /** Checks the fields. */
  public ConfigState {
    Objects.requireNonNull(text, "text");
    changeIds = List.copyOf(changeIds);
    if (version < 0 || nextOffset < 0) {
      throw new IllegalArgumentException("version " + version + ", next offset " + nextOffset);
    }
    if (changeIds.size() > MAX_CHANGE_IDS || (version == 0) != changeIds.isEmpty()) {
      throw new IllegalArgumentException(changeIds.size() + " change ids");
    }
  }

  /** Returns the identifier of the change that brought this version, empty at version 0. */
  public String changeId() {
    return changeIds.isEmpty() ? "" : changeIds.get(changeIds.size() - 1);
  }

  /**
   * Finds the version that a change brought.
   *
   * @param changeId identifier of a change, not null
   * @return its version; empty if it was not accepted or is no longer remembered
   */
  public OptionalLong versionOf(String changeId) {
    int i = changeIds.lastIndexOf(changeId);
    return i < 0 ? OptionalLong.empty() : OptionalLong.of(version - (changeIds.size() - 1 - i));
  }

  /**
   * Returns the state after a further record.
   *
   * @param offset first offset that is not folded in
   * @return this state at that offset
   */
  public ConfigState at(long offset) {
    return new ConfigState(version, text, changeIds, offset);
  }

  /**
   * Returns the state after an accepted change.
   *
   * @param changeId identifier of the change
   * @param newText text that it brought
   * @return the next version, at the same offset
   */
  ConfigState after(String changeId, String newText) {
    List<String> ids = new ArrayList<>(changeIds);
    ids.add(changeId);
    int from = Math.max(0, ids.size() - MAX_CHANGE_IDS);
    return new ConfigState(version + 1, newText, ids.subList(from, ids.size()), nextOffset);
  }

  /**
   * Returns the state that a restore brings.
   *
   * @param r the restore
   * @param offset first offset after it
   * @return the state, which knows no earlier change
   */
  static ConfigState restored(ConfigRestore r, long offset) {
    return new ConfigState(r.version(), r.text(), List.of(r.changeId()), offset);
  }
}
