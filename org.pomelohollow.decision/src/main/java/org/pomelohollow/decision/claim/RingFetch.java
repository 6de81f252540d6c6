package org.pomelohollow.decision.claim;

import org.pomelohollow.message.PeerMessage;

/**
 * Asks a peer for its ring if it is newer.
 *
 * @param haveVersion version of the sender's ring, 0 if it has none
 */
public record RingFetch(long haveVersion) implements PeerMessage {}
