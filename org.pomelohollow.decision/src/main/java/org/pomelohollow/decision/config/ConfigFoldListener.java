package org.pomelohollow.decision.config;

import org.pomelohollow.document.Document;
import org.pomelohollow.errors.ErrorCode;

/** Told of what the fold makes of each record. */
public interface ConfigFoldListener {
  /**
   * A change was accepted.
   *
   * @param state state after it
   * @param document its document
   */
  void accepted(ConfigState state, Document document);

  /**
   * A change was rejected.
   *
   * @param changeId identifier of the change
   * @param code why
   * @param current state that it met
   */
  void rejected(String changeId, ErrorCode code, ConfigState current);

  /**
   * A checkpoint was read.
   *
   * @param state its content
   */
  void checkpoint(ConfigState state);
}
