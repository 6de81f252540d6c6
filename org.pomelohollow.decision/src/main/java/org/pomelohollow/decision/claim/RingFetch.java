package org.pomelohollow.decision.claim;

import org.pomelohollow.message.PeerMessage;

/**
 * Asks for a newer ring.
 *
 * @param have version that the sender has
 */
public record RingFetch(long have) implements PeerMessage {}
