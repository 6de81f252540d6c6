package org.pomelohollow.decision.config;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;

/**
 * Carries a configuration to a peer.
 *
 * @param version version of the document
 * @param changeId change that brought it
 * @param text TOML text
 * @param nextOffset first offset of the log that the sender's fold has not read
 */
public record ConfigTransfer(long version, String changeId, String text, long nextOffset)
    implements PeerMessage {
  /** Checks the fields. */
  public ConfigTransfer {
    Objects.requireNonNull(changeId, "changeId");
    Objects.requireNonNull(text, "text");
  }
}
