package org.pomelohollow.decision.config;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;

/**
 * Carries a configuration to a peer, with the state from which the peer can continue its fold.
 *
 * @param state state of the sender's fold
 */
public record ConfigTransfer(ConfigState state) implements PeerMessage {
  /** Checks the field. */
  public ConfigTransfer {
    Objects.requireNonNull(state, "state");
  }
}
