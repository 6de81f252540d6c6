package org.pomelohollow.decision.config;

import org.pomelohollow.document.Document;
import org.pomelohollow.errors.ErrorCode;

/** Receives the decisions of a {@link ConfigFold}. */
public interface ConfigFoldListener {
  /**
   * Called when a change is accepted, or when the fold starts from a checkpoint.
   *
   * @param state state with the change applied
   * @param document document of that state
   */
  void onAccepted(ConfigState state, Document document);

  /**
   * Called when a change is rejected.
   *
   * @param changeId identifier of the change
   * @param code reason of the rejection
   * @param current state to which the change was to be applied
   */
  void onRejected(String changeId, ErrorCode code, ConfigState current);

  /**
   * Called when a checkpoint is read, whether or not the fold starts from it.
   *
   * @param state state in the checkpoint
   */
  void onCheckpoint(ConfigState state);
}
