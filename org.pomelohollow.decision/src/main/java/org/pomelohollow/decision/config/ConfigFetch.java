package org.pomelohollow.decision.config;

import org.pomelohollow.message.PeerMessage;

/**
 * Asks a peer for its configuration.
 *
 * @param haveVersion version of the sender, 0 if none
 */
public record ConfigFetch(long haveVersion) implements PeerMessage {}
