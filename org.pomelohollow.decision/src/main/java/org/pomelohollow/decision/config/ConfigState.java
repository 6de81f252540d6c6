package org.pomelohollow.decision.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Result of folding the configuration stream up to an offset. All readers have the same state at
 * the same offset.
 *
 * @param version active version, 0 if none; every accepted change adds 1, and a restore sets it
 * @param text TOML text of the active document, empty at version 0
 * @param changeIds identifiers of the last accepted changes, the newest last, at most {@link
 *     #MAX_CHANGE_IDS}
 * @param nextOffset first offset that is not folded into this state
 */
public record ConfigState(long version, String text, List<String> changeIds, long nextOffset) {
  /** Largest number of identifiers of accepted changes that a state holds. */
  public static final int MAX_CHANGE_IDS = 256;

  /** State before the first entry of the stream. */
  public static final ConfigState INITIAL = new ConfigState(0, "", List.of(), 0);

  /** Checks the fields. */
  public ConfigState {
    Objects.requireNonNull(text, "text");
    changeIds = List.copyOf(changeIds);
    if (version < 0 || nextOffset < 0) {
      throw new IllegalArgumentException(
          "version " + version + " or next offset " + nextOffset + " is negative");
    }
    if (changeIds.size() > MAX_CHANGE_IDS || (version == 0) != changeIds.isEmpty()) {
      throw new IllegalArgumentException(changeIds.size() + " change ids at version " + version);
    }
  }

  /** Returns the identifier of the change that created this version, empty at version 0. */
  public String changeId() {
    return changeIds.isEmpty() ? "" : changeIds.get(changeIds.size() - 1);
  }

  /**
   * Returns the version that a change created.
   *
   * @param changeId identifier of a change, not null
   * @return its version; empty if the change was not accepted or its identifier is no longer held
   */
  public OptionalLong versionOf(String changeId) {
    int i = changeIds.lastIndexOf(changeId);
    return i < 0 ? OptionalLong.empty() : OptionalLong.of(version - (changeIds.size() - 1 - i));
  }

  /**
   * Returns the state of the same version at a later offset.
   *
   * @param offset first offset that is not folded into the returned state
   * @return this state with the given next offset
   */
  public ConfigState atOffset(long offset) {
    return new ConfigState(version, text, changeIds, offset);
  }

  /**
   * Returns the state after an accepted change.
   *
   * @param changeId identifier of the change
   * @param newText TOML text of its document
   * @return state of the next version, with the same next offset
   */
  ConfigState afterChange(String changeId, String newText) {
    List<String> ids = new ArrayList<>(changeIds);
    ids.add(changeId);
    int first = Math.max(0, ids.size() - MAX_CHANGE_IDS);
    return new ConfigState(version + 1, newText, ids.subList(first, ids.size()), nextOffset);
  }

  /**
   * Returns the state after a restore.
   *
   * @param restore the restore
   * @param offset first offset after the restore
   * @return the state, which holds the identifiers of no earlier changes
   */
  static ConfigState afterRestore(ConfigRestore restore, long offset) {
    return new ConfigState(restore.version(), restore.text(), List.of(restore.changeId()), offset);
  }
}
