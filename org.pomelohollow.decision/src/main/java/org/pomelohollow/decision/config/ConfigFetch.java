package org.pomelohollow.decision.config;

import org.pomelohollow.message.PeerMessage;

/**
 * Asks a peer for its configuration. A peer answers if its version is newer, or if it has the same
 * version and its fold is beyond an offset.
 *
 * @param haveVersion version of the sender, 0 if none
 * @param beyondOffset offset below which the same version is of no use to the sender
 */
public record ConfigFetch(long haveVersion, long beyondOffset) implements PeerMessage {}
