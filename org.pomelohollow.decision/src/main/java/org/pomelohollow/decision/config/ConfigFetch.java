package org.pomelohollow.decision.config;

import org.pomelohollow.message.PeerMessage;

/**
 * Asks a peer for its configuration. The peer replies if its version is newer, or if its version is
 * the same and its state is beyond an offset.
 *
 * @param haveVersion version of the sender, 0 if none
 * @param beyondOffset offset that the next offset of a state of the same version must exceed to be
 *     of use to the sender
 */
public record ConfigFetch(long haveVersion, long beyondOffset) implements PeerMessage {}
